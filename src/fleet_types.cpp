#include "fleet_types_p.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace catkin {

EndpointIncarnation incarnationOf(const FleetEndpoint &entry) {
  return {entry.name, entry.incarnation};
}

namespace {

/// Letters before the ids of traits, by kind. None of them is a hexadecimal digit.
constexpr std::array<std::string_view, static_cast<std::size_t>(TraitKind::Count)> TraitPrefixes{
    "x", "r", ""};

} // namespace

std::string traitText(const RequestTrait &trait) {
  std::array<char, 17> buf{};
  const auto n =
      std::snprintf(buf.data(), buf.size(), "%llx", static_cast<unsigned long long>(trait.id));
  const std::string_view prefix = TraitPrefixes[static_cast<std::size_t>(trait.kind)];
  return std::string(prefix) + std::string(buf.data(), static_cast<std::size_t>(n));
}

std::optional<RequestTrait> parseTrait(std::string_view text) {
  constexpr int Hexadecimal = 16;
  RequestTrait trait;
  for (auto kind : {TraitKind::ExactRequest, TraitKind::Request})
    if (text.starts_with(TraitPrefixes[static_cast<std::size_t>(kind)])) {
      trait.kind = kind;
      text.remove_prefix(1);
      break;
    }
  auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), trait.id, Hexadecimal);
  const bool isNumber = ec == std::errc() && end == text.data() + text.size();
  return isNumber ? std::optional(trait) : std::nullopt;
}

std::string toText(const ModelRef &ref) {
  return ref.adapter.empty() ? ref.model.value : ref.model.value + "/" + ref.adapter;
}

ModelRef parseModelRef(std::string_view text) {
  auto slash = text.find('/');
  if (slash == std::string_view::npos)
    return {ModelName(text), {}};
  return {ModelName(text.substr(0, slash)), std::string(text.substr(slash + 1))};
}

const FleetRoute *findRoute(const FleetConfig &config, std::string_view host,
                            std::string_view target) {
  auto path = target.substr(0, target.find('?'));
  const FleetRoute *best = nullptr;
  for (auto &it : config.routes) {
    if (it.host != host || !path.starts_with(it.pathPrefix))
      continue;
    if (!best || it.pathPrefix.size() > best->pathPrefix.size())
      best = &it;
  }
  return best;
}

Duration streamCallerTimeout(const FleetRoute &route) {
  constexpr Duration MinTimeout = std::chrono::seconds(2);
  return std::max({MinTimeout, 4 * route.objective, 8 * route.eventGap});
}

const ServiceName &pickService(const FleetRoute &route, std::uint64_t random) {
  double total = 0;
  for (auto &it : route.services)
    total += it.weight;
  constexpr double Scale = 1ULL << 32U;
  double point = static_cast<double>(random & 0xffffffffU) / Scale * total;
  for (auto &it : route.services) {
    point -= it.weight;
    if (point < 0)
      return it.service;
  }
  return route.services.back().service;
}

bool holds(const std::vector<HeldModel> &models, const ModelRef &ref) {
  return std::any_of(models.begin(), models.end(), [&](auto &it) {
    return it.model == ref.model &&
           (ref.adapter.empty() ||
            std::find(it.adapters.begin(), it.adapters.end(), ref.adapter) != it.adapters.end());
  });
}

void addAdapter(std::vector<HeldModel> &models, const ModelRef &ref) {
  for (auto &it : models)
    if (it.model == ref.model && !holds({it}, ref))
      it.adapters.push_back(ref.adapter);
}

void removeModelOrAdapter(std::vector<HeldModel> &models, const ModelRef &ref) {
  if (ref.adapter.empty()) {
    std::erase_if(models, [&](auto &it) { return it.model == ref.model; });
    return;
  }
  for (auto &it : models)
    if (it.model == ref.model)
      std::erase(it.adapters, ref.adapter);
}

WeightSource sourceOf(const EngineHoldings &holdings, const ModelName &model) {
  auto in = [&](const std::vector<ModelName> &names) {
    return std::find(names.begin(), names.end(), model) != names.end();
  };
  if (in(holdings.inMemory))
    return WeightSource::Memory;
  return in(holdings.onDisk) ? WeightSource::Disk : WeightSource::Remote;
}

Duration loadTime(const ModelSpec &model, WeightSource source) {
  switch (source) {
  case WeightSource::Memory:
    return model.memoryLoad;
  case WeightSource::Disk:
    return model.diskLoad;
  case WeightSource::Remote:
    break;
  }
  return model.remoteLoad;
}

double usedMegabytes(const EngineSpec &spec, const std::vector<HeldModel> &models) {
  double used = 0;
  for (auto &it : models) {
    auto found = spec.models.find(it.model);
    if (found == spec.models.end())
      return spec.megabytes;
    auto adapters = static_cast<double>(it.adapters.size());
    used += found->second.megabytes + adapters * found->second.adapterMegabytes;
  }
  return used;
}

int countAdapters(const std::vector<HeldModel> &models) {
  std::size_t n = 0;
  for (auto &it : models)
    n += it.adapters.size();
  return static_cast<int>(n);
}

} // namespace catkin
