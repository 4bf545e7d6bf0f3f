#include "engine_memory_p.h"

#include <algorithm>

namespace catkin::standin {

namespace {

/// Makes a checkpoint the most recently used one and evicts the least recently used one over the
/// limit.
void touch(std::vector<std::string> &cache, const std::string &model, std::size_t limit) {
  std::erase(cache, model);
  cache.push_back(model);
  if (cache.size() > limit)
    cache.erase(cache.begin());
}

bool contains(const std::vector<std::string> &cache, const std::string &model) {
  return std::find(cache.begin(), cache.end(), model) != cache.end();
}

std::vector<ModelName> toNames(const std::vector<std::string> &cache) {
  std::vector<ModelName> names;
  names.reserve(cache.size());
  for (const auto &it : cache)
    names.emplace_back(it);
  return names;
}

} // namespace

EngineMemory::EngineMemory(EngineMemoryOptions o)
    : options(std::move(o)), memoryCache(options.memoryCache), diskCache(options.diskCache) {}

bool EngineMemory::acceptTerm(std::uint64_t newTerm) {
  if (!options.checksFencing)
    return true;
  if (newTerm < term) {
    ++faults.staleOrders;
    return false;
  }
  term = newTerm;
  return true;
}

OrderResult EngineMemory::apply(const EngineOrder &order) {
  if (!acceptTerm(order.term))
    return {OrderStatus::StaleTerm};
  switch (order.kind) {
  case OrderKind::Load:
    return load(order);
  case OrderKind::Unload:
    return {unload(order.model)};
  default:
    return {OrderStatus::Ok};
  }
}

OrderResult EngineMemory::load(const EngineOrder &order) {
  if (isPresent(order.model))
    return {OrderStatus::Ok};
  if (!order.base.empty() && !isPresent(order.base))
    return {OrderStatus::NotFound};
  if (usedBytes() + order.bytes > options.memoryBytes) {
    if (options.checksMemory) {
      ++faults.refusedNoMemory;
      return {OrderStatus::NoMemory};
    }
    ++faults.overcommits;
  }
  if (leaving)
    ++faults.loadsWhileLeaving;
  replicas[order.model.value] = {
      .base = order.base, .bytes = order.bytes, .loadId = ++lastLoadId, .inFlight = 0};
  return {OrderStatus::Ok, lastLoadId};
}

bool EngineMemory::isBusy(const std::string &model) const {
  return std::any_of(replicas.begin(), replicas.end(), [&](const auto &it) {
    return (it.first == model || it.second.base.value == model) && it.second.inFlight > 0;
  });
}

/// Unloads a model. Unloading a base model also unloads its adapters, which cannot run without it.
OrderStatus EngineMemory::unload(const ModelName &model) {
  if (!isPresent(model))
    return OrderStatus::NotFound;
  if (isBusy(model.value)) {
    ++faults.busyUnloads;
    return OrderStatus::Busy;
  }
  std::erase_if(replicas,
                [&](const auto &it) { return it.first == model.value || it.second.base == model; });
  return OrderStatus::Ok;
}

OrderStatus EngineMemory::changeRole(std::uint64_t newTerm, EngineRole newRole) {
  if (!acceptTerm(newTerm))
    return OrderStatus::StaleTerm;
  const bool idle = std::all_of(replicas.begin(), replicas.end(),
                                [](const auto &it) { return it.second.inFlight == 0; });
  if (!idle)
    return OrderStatus::Busy;
  role = newRole;
  return OrderStatus::Ok;
}

bool EngineMemory::isLoading(const ModelName &model, std::uint64_t loadId) const {
  const auto it = replicas.find(model.value);
  return it != replicas.end() && it->second.loadId == loadId;
}

ModelName EngineMemory::baseOf(const ModelName &model) const {
  const auto it = replicas.find(model.value);
  return it == replicas.end() ? ModelName() : it->second.base;
}

bool EngineMemory::isReady(const ModelName &model) const {
  const auto it = replicas.find(model.value);
  return it != replicas.end() && it->second.loadId == 0;
}

void EngineMemory::finishLoad(const ModelName &model, std::uint64_t loadId) {
  if (!isLoading(model, loadId))
    return;
  replicas[model.value].loadId = 0;
  touch(memoryCache, model.value, options.memoryCacheEntries);
  touch(diskCache, model.value, options.diskCacheEntries);
}

void EngineMemory::dropLoad(const ModelName &model, std::uint64_t loadId) {
  if (isLoading(model, loadId))
    replicas.erase(model.value);
}

CopySource EngineMemory::copySource(const ModelName &model) const {
  if (contains(memoryCache, model.value))
    return CopySource::Memory;
  return contains(diskCache, model.value) ? CopySource::Disk : CopySource::Remote;
}

bool EngineMemory::beginRequest(const ModelName &model) {
  if (!isReady(model)) {
    ++faults.requestsNotLoaded;
    return false;
  }
  ++replicas[model.value].inFlight;
  return true;
}

void EngineMemory::endRequest(const ModelName &model) { --replicas[model.value].inFlight; }

std::uint64_t EngineMemory::usedBytes() const {
  std::uint64_t sum = 0;
  for (const auto &it : replicas)
    sum += it.second.bytes;
  return sum;
}

EndpointReport EngineMemory::report() const {
  EndpointReport report;
  report.endpoint = options.endpoint;
  report.incarnation = options.incarnation;
  report.checksFencing = options.checksFencing;
  report.leaving = leaving;
  report.generation = options.generation;
  report.term = term;
  report.memoryBytes = options.memoryBytes;
  for (const auto &it : replicas)
    report.models.push_back({.model = ModelName(it.first),
                             .ready = it.second.loadId == 0,
                             .bytes = it.second.bytes,
                             .inFlight = it.second.inFlight});
  report.memoryCache = toNames(memoryCache);
  report.diskCache = toNames(diskCache);
  return report;
}

} // namespace catkin::standin
