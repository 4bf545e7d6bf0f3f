#pragma once

#include "types_p.h"

#include <boost/json/fwd.hpp>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The operators' two lists. Both are kept in one platform object, so that one conditional update
/// checks them against each other.
///
/// List `plans`: {"plans":[{"name","keys":["sha256:<64 hex>"],"priority":"low|normal|high",
///   "grant":{"models","concurrency","tokens_per_second","accelerator_bytes"}}]}
/// List `uses`:  {"models":[{"name","bytes","base"?,"version"?}],
///   "services":[{"name","idempotent":bool}],
///   "uses":[{"plan","models":[..],"services":[..]}]}
namespace catkin {

/// What a plan may take at most.
struct Grant {
  int models = 0;      ///< replicas charged to the plan at one time
  int concurrency = 0; ///< requests running at one time
  double tokensPerSecond = 0;
  std::uint64_t acceleratorBytes = 0; ///< accelerator memory of the replicas charged to the plan
  friend bool operator==(const Grant &, const Grant &) = default;
};

struct Plan {
  PlanName name;
  std::vector<std::string> keys; ///< "sha256:<hex>" of each bearer key
  Priority priority = Priority::Normal;
  Grant grant;
};

struct Model {
  ModelName name;
  ModelName base; ///< set for an adapter
  std::string version;
  std::uint64_t bytes = 0;
  bool isAdapter() const { return !base.empty(); }
};

struct Service {
  ServiceName name;
  bool idempotent = false;
};

struct Use {
  PlanName plan;
  std::vector<ModelName> models;
  std::vector<ServiceName> services;
};

/// Both lists at one revision. Immutable once shared.
struct Lists {
  std::uint64_t revision = 0;
  std::string editId; ///< identifies the edit, so that its author recognises it when read back
  std::map<PlanName, Plan> plans;
  std::map<ModelName, Model> models;
  std::map<ServiceName, Service> services;
  std::map<PlanName, Use> uses;

  const Plan *planOfKey(std::string_view bearerKey) const;
  bool mayUse(const PlanName &plan, const ModelName &model) const;
  bool mayUse(const PlanName &plan, const ServiceName &service) const;
  const Model *model(const ModelName &name) const;
};
using ListsPtr = std::shared_ptr<const Lists>;

/// A fault in a list: the path of the field, such as "plans[2].grant.concurrency", and the reason.
struct ListError {
  std::string path;
  std::string message;
};
using ListErrors = std::vector<ListError>;

enum class ListKind { Plans, Uses, Count };
template <> struct EnumNames<ListKind> {
  static constexpr std::array<std::string_view, 2> Table{"plans", "uses"};
};

/// Parses and checks both lists from the stored document
/// {"revision","edit_id","plans":{..list plans..},"uses":{..list uses..}}. Reports all faults.
std::variant<Lists, ListErrors> parseLists(std::string_view document);

/// The stored document of both lists.
std::string formatLists(const Lists &lists);

/// One list as operators edit it, pretty-printed with stable order.
std::string formatList(const Lists &lists, ListKind kind);

/// `base` with one of its lists replaced by `document`; revision is base.revision + 1.
std::variant<Lists, ListErrors> replaceList(const Lists &base, ListKind kind,
                                            std::string_view document, std::string editId);

/// "sha256:<hex>" of a bearer key.
std::string hashKey(std::string_view bearerKey);

} // namespace catkin
