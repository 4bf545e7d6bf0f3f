#include "report_helper.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>

namespace catkin::bench {

namespace {

constexpr auto FigureCount = static_cast<std::size_t>(Figure::Count);
constexpr double TailBar = 0.5;
constexpr double IdleBar = 0.6;

/// Returns the nearest-rank percentile of `waits` and of `zeros` requests that did not wait.
double percentile(std::vector<double> waits, double p, int zeros = 0) {
  waits.insert(waits.end(), static_cast<std::size_t>(std::max(0, zeros)), 0.0);
  if (waits.empty())
    return 0;
  auto rank = static_cast<std::size_t>(std::ceil(p * static_cast<double>(waits.size())));
  auto it = waits.begin() + static_cast<std::ptrdiff_t>(std::max<std::size_t>(rank, 1) - 1);
  std::ranges::nth_element(waits, it);
  return *it;
}

std::array<double, FigureCount> figuresOf(const RunResult &run) {
  auto cold = static_cast<int>(run.coldWaits.size());
  return {percentile(run.coldWaits, 0.5),
          percentile(run.coldWaits, 0.99),
          run.idleAccelHours,
          static_cast<double>(run.served),
          static_cast<double>(run.refused),
          static_cast<double>(run.late),
          static_cast<double>(run.loads),
          static_cast<double>(run.requests),
          static_cast<double>(cold),
          percentile(run.coldWaits, 0.99, run.requests - cold),
          run.longestWaitOfRefused,
          static_cast<double>(run.baseColdWaits.size()),
          percentile(run.baseColdWaits, 0.99)};
}

bool isCurve(const std::string &name) { return name.starts_with("fixed_") && name.ends_with("s"); }

struct Point {
  std::string name;
  double idle = 0;
  double tail = 0;
  double served = 0;
};

Point pointOf(const std::string &name, const HalfFigures &figures, Figure tail) {
  const auto &it = figures.at(name);
  return {name, mean(it, Figure::IdleHours), mean(it, tail), mean(it, Figure::Served)};
}

/// Returns the fixed policy with the fewest idle hours among those with at least as many as ours;
/// if there is none, the one with the most.
Point nearestIdle(const std::vector<Point> &curve, const Point &ours) {
  const Point *best = nullptr;
  for (const auto &it : curve)
    if (it.idle >= ours.idle && (!best || it.idle < best->idle))
      best = &it;
  return best ? *best : *std::ranges::max_element(curve, {}, &Point::idle);
}

/// Returns the fixed policy with the lowest tail among those whose tail is not below ours; of equal
/// ones, that with fewer idle hours. If there is none, returns the one with the highest tail.
Point nearestTail(const std::vector<Point> &curve, const Point &ours) {
  const Point *best = nullptr;
  for (const auto &it : curve) {
    if (it.tail < ours.tail)
      continue;
    if (!best || it.tail < best->tail || (it.tail == best->tail && it.idle < best->idle))
      best = &it;
  }
  return best ? *best : *std::ranges::max_element(curve, {}, &Point::tail);
}

int judge(const char *bar, bool held, const std::string &text) {
  std::printf("  %s %-6s %s\n", bar, held ? "held" : "MISSED", text.c_str());
  return held ? 0 : 1;
}

std::string format(const char *text, auto... values) {
  char buf[256];
  std::snprintf(buf, sizeof buf, text, values...);
  return buf;
}

} // namespace

Figures summarise(const std::vector<RunResult> &runs) {
  Figures result{};
  if (runs.empty())
    return result;
  for (auto &it : result)
    it = {.mean = 0, .min = 1e300, .max = -1e300};
  for (const auto &run : runs) {
    auto values = figuresOf(run);
    for (std::size_t i = 0; i < FigureCount; ++i) {
      result[i].mean += values[i] / static_cast<double>(runs.size());
      result[i].min = std::min(result[i].min, values[i]);
      result[i].max = std::max(result[i].max, values[i]);
    }
  }
  return result;
}

int printBars(const std::string &title, const HalfFigures &figures, Figure tail) {
  std::printf("%s, tail %s\n", title.c_str(), std::string(toString(tail)).c_str());
  std::vector<Point> curve;
  for (const auto &[name, it] : figures)
    if (isCurve(name))
      curve.push_back(pointOf(name, figures, tail));
  auto ours = pointOf("ours", figures, tail);
  auto byIdle = nearestIdle(curve, ours);
  auto byTail = nearestTail(curve, ours);
  int missed = 0;
  missed += judge("(i)  ", ours.idle <= byIdle.idle && ours.tail <= TailBar * byIdle.tail,
                  format("tail %.1f s against %.1f s of %s (ratio %.2f, bar %.2f) at idle %.1f h "
                         "against %.1f h",
                         ours.tail, byIdle.tail, byIdle.name.c_str(), ours.tail / byIdle.tail,
                         TailBar, ours.idle, byIdle.idle));
  missed += judge("(ii) ", ours.tail <= byTail.tail && ours.idle <= IdleBar * byTail.idle,
                  format("idle %.1f h against %.1f h of %s (ratio %.2f, bar %.2f) at tail %.1f s "
                         "against %.1f s",
                         ours.idle, byTail.idle, byTail.name.c_str(), ours.idle / byTail.idle,
                         IdleBar, ours.tail, byTail.tail));
  missed += judge("(iii)", ours.served >= byIdle.served && ours.served >= byTail.served,
                  format("served %.1f against %.1f of %s and %.1f of %s", ours.served,
                         byIdle.served, byIdle.name.c_str(), byTail.served, byTail.name.c_str()));
  double late = 0;
  for (const auto &[name, it] : figures)
    late += mean(it, Figure::Late);
  missed += judge("(iv) ", late == 0, format("late %.1f over all policies", late));
  auto bound = pointOf("clairvoyant", figures, tail);
  std::printf("  (v)   distance to clairvoyant: idle %.1f h against %.1f h (x%.2f), tail %.1f s "
              "against %.1f s\n",
              ours.idle, bound.idle, ours.idle / bound.idle, ours.tail, bound.tail);
  return missed;
}

void printTable(const std::string &title, const HalfFigures &figures) {
  std::printf("%s: mean over seeds\n", title.c_str());
  std::printf("  %-16s %8s %8s %8s %9s %8s %8s %8s %8s %6s %6s %6s %9s\n", "policy", "idle_h",
              "p50", "p99", "p99_all", "p99_base", "cold", "baseCold", "served", "refus", "late",
              "loads", "longestR");
  std::vector<std::pair<double, std::string>> order;
  for (const auto &[name, it] : figures)
    order.emplace_back(mean(it, Figure::IdleHours), name);
  std::ranges::sort(order);
  for (const auto &[idle, name] : order) {
    const auto &it = figures.at(name);
    std::printf("  %-16s %8.1f %8.2f %8.2f %9.2f %8.2f %8.1f %8.1f %8.1f %6.1f %6.1f %6.1f %9.1f\n",
                name.c_str(), idle, mean(it, Figure::P50Cold), mean(it, Figure::P99Cold),
                mean(it, Figure::P99All), mean(it, Figure::P99BaseCold),
                mean(it, Figure::ColdRequests), mean(it, Figure::BaseColdRequests),
                mean(it, Figure::Served), mean(it, Figure::Refused), mean(it, Figure::Late),
                mean(it, Figure::Loads), mean(it, Figure::LongestRefusal));
  }
}

namespace {

boost::json::object spreadJson(const Figures &figures) {
  boost::json::object result;
  for (std::size_t i = 0; i < FigureCount; ++i)
    result[toString(static_cast<Figure>(i))] = {
        {"mean", figures[i].mean}, {"min", figures[i].min}, {"max", figures[i].max}};
  return result;
}

boost::json::object shapeJson(const ShapeFigures &shape) {
  boost::json::object result;
  for (const auto &[name, figures] : shape.heldOut) {
    boost::json::object policy;
    for (std::size_t i = 0; i < FigureCount; ++i)
      policy[toString(static_cast<Figure>(i))] = figures[i].mean;
    policy["held_out"] = spreadJson(figures);
    policy["tuning"] = spreadJson(shape.tuning.at(name));
    result[name] = std::move(policy);
  }
  return result;
}

void appendPlotLines(std::string &text, const std::string &shape, const char *half,
                     const HalfFigures &figures) {
  for (const auto &[name, it] : figures)
    text +=
        format("%s %s %s %.3f %.3f %.3f\n", shape.c_str(), half, name.c_str(),
               mean(it, Figure::IdleHours), mean(it, Figure::P99Cold), mean(it, Figure::P99All));
}

} // namespace

std::string formatJson(const std::map<std::string, ShapeFigures> &shapes) {
  boost::json::object root;
  for (const auto &[name, shape] : shapes)
    root[name] = shapeJson(shape);
  return boost::json::serialize(root);
}

std::string formatPlotData(const std::map<std::string, ShapeFigures> &shapes) {
  std::string text = "# shape half policy idle_accel_hours p99_cold_s p99_all_s\n";
  for (const auto &[name, shape] : shapes) {
    appendPlotLines(text, name, "tuning", shape.tuning);
    appendPlotLines(text, name, "held_out", shape.heldOut);
  }
  return text;
}

} // namespace catkin::bench
