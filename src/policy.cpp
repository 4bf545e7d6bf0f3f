#include "policy_p.h"

#include "policy_rules_p.h"

#include <map>

namespace catkin {

namespace {

template <class Creator> using CreatorTable = std::map<std::string, Creator, std::less<>>;

// Function-local, because policies register during static initialisation in unspecified order.
CreatorTable<RetentionCreator> &retentionTable() {
  static CreatorTable<RetentionCreator> table;
  return table;
}

CreatorTable<PlacementCreator> &placementTable() {
  static CreatorTable<PlacementCreator> table;
  return table;
}

template <class Creator>
bool add(CreatorTable<Creator> &table, std::string_view name, Creator creator) {
  return creator && table.emplace(std::string(name), creator).second;
}

template <class Creator>
auto create(const CreatorTable<Creator> &table, std::string_view name, const PolicyWeights &weights)
    -> decltype((*table.begin()->second)(weights)) {
  auto it = table.find(name);
  return it == table.end() ? nullptr : it->second(weights);
}

template <class Creator> std::vector<std::string> names(const CreatorTable<Creator> &table) {
  std::vector<std::string> result;
  for (const auto &[name, creator] : table)
    result.push_back(name);
  return result;
}

bool areBuiltInPoliciesRegistered() {
  return FixedRetentionRegistered && LruRetentionRegistered && AdaptiveRetentionRegistered &&
         CostPlacementRegistered && FirstFitPlacementRegistered;
}

} // namespace

bool registerRetentionPolicy(std::string_view name, RetentionCreator creator) {
  return add(retentionTable(), name, creator);
}

bool registerPlacementPolicy(std::string_view name, PlacementCreator creator) {
  return add(placementTable(), name, creator);
}

std::unique_ptr<RetentionPolicy> createRetentionPolicy(std::string_view name,
                                                       const PolicyWeights &weights) {
  return areBuiltInPoliciesRegistered() ? create(retentionTable(), name, weights) : nullptr;
}

std::unique_ptr<PlacementPolicy> createPlacementPolicy(std::string_view name,
                                                       const PolicyWeights &weights) {
  return areBuiltInPoliciesRegistered() ? create(placementTable(), name, weights) : nullptr;
}

std::vector<std::string> retentionPolicyNames() { return names(retentionTable()); }

std::vector<std::string> placementPolicyNames() { return names(placementTable()); }

} // namespace catkin
