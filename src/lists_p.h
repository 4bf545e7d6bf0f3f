#pragma once

#include "types_p.h"

#include <boost/json/fwd.hpp>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The operators' two lists. Both are stored in one platform object, so that a single conditional
/// update checks them against each other.
///
/// List `plans`: {"plans":[{"name","keys":["sha256:<64 hex>"],"priority":"low|normal|high",
///   "grant":{"models","concurrency","tokens_per_second","accelerator_bytes"}}]}
/// List `uses`:  {"models":[{"name","bytes","base"?,"version"?}],
///   "services":[{"name","idempotent":bool}],
///   "uses":[{"plan","models":[..],"services":[..]}]}
namespace catkin {

/// Upper limits of a plan's use of the system.
struct Grant {
  int models = 0;      ///< replicas charged to the plan at one time
  int concurrency = 0; ///< requests running at one time
  double tokensPerSecond = 0;
  std::uint64_t acceleratorBytes = 0; ///< accelerator memory of the replicas charged to the plan
  friend bool operator==(const Grant &, const Grant &) = default;
};

/// Entry of list `plans`: a customer's contract.
struct Plan {
  PlanName name;
  std::vector<std::string> keys; ///< "sha256:<hex>" of each bearer key
  Priority priority = Priority::Normal;
  Grant grant;
};

/// A model or adapter in list `uses`.
struct Model {
  ModelName name;
  ModelName base; ///< base model of an adapter; empty for a base model
  std::string version;
  std::uint64_t bytes = 0;
  bool isAdapter() const { return !base.empty(); }
};

/// A plain service in list `uses`.
struct Service {
  ServiceName name;
  bool idempotent = false;
};

/// Models and services that a plan may use.
struct Use {
  PlanName plan;
  std::vector<ModelName> models;
  std::vector<ServiceName> services;
};

/// Both lists at one revision. Immutable once shared.
struct Lists {
  std::uint64_t revision = 0;
  std::string editId; ///< identifies the edit, so that the host which wrote it recognises it
  std::map<PlanName, Plan> plans;
  std::map<ModelName, Model> models;
  std::map<ServiceName, Service> services;
  std::map<PlanName, Use> uses;

  /// The plan with this bearer key; null if there is none.
  const Plan *planOfKey(std::string_view bearerKey) const;
  bool mayUse(const PlanName &plan, const ModelName &model) const;
  bool mayUse(const PlanName &plan, const ServiceName &service) const;
  /// The model of this name; null if there is none.
  const Model *model(const ModelName &name) const;
};
using ListsPtr = std::shared_ptr<const Lists>;

/// An error in a list: path of the field, such as "plans[2].grant.concurrency", and reason.
struct ListError {
  std::string path;
  std::string message;
};
using ListErrors = std::vector<ListError>;

enum class ListKind { Plans, Uses, Count };
template <> struct EnumNames<ListKind> {
  static constexpr std::array<std::string_view, 2> Table{"plans", "uses"};
};

/// Parses and validates both lists from the stored document
/// {"revision","edit_id","plans":{..list plans..},"uses":{..list uses..}}. Returns the lists, or
/// all errors found.
std::variant<Lists, ListErrors> parseLists(std::string_view document);

/// Formats the stored document of both lists.
std::string formatLists(const Lists &lists);

/// Formats one list as operators edit it: indented JSON with a stable order of entries.
std::string formatList(const Lists &lists, ListKind kind);

/// Replaces one list of `base` by `document` and validates both. Returns the result with revision
/// base.revision + 1 and `editId`, or all errors found.
std::variant<Lists, ListErrors> replaceList(const Lists &base, ListKind kind,
                                            std::string_view document, std::string editId);

/// Hash of a bearer key in the form "sha256:<hex>".
std::string hashKey(std::string_view bearerKey);

} // namespace catkin
