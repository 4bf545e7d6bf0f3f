#pragma once

#include "env_p.h"
#include "guards_p.h"
#include "lists_p.h"

#include <functional>
#include <memory>

/// Keeps the newest accepted lists on this host and writes operators' edits.
namespace catkin {

enum class EditOutcome { Accepted, Conflict, Invalid, NotAccepted, Unknown, Count };
template <> struct EnumNames<EditOutcome> {
  static constexpr std::array<std::string_view, 5> Table{"accepted", "conflict", "invalid",
                                                         "not_accepted", "unknown"};
};

struct EditResult {
  EditOutcome outcome = EditOutcome::Unknown;
  std::uint64_t revision = 0; ///< current revision as far as known
  ListErrors errors;          ///< for Invalid
  bool readBack = false;      ///< the outcome was found out by reading back after a lost reply
};

struct ConfigSyncOptions {
  std::vector<Address> peers; ///< asked for their lists when the platform cannot be read at start
  Guards guards;
};

class ConfigSync {
public:
  using AppliedCallback = std::function<void(ListsPtr)>;
  using EditDone = std::function<void(const EditResult &)>;

  ConfigSync(Env &env, ConfigSyncOptions options, AppliedCallback onApplied);
  ~ConfigSync();

  /// Loads config/lists and watches it. During an outage asks the peers (method `lists`) and
  /// becomes ready when more than half of them have answered.
  void start();
  bool isReady() const;
  ListsPtr currentLists() const;

  /// Another host has `revision` in force: fetch it if newer.
  void onRevisionSeen(std::uint64_t revision, const Address &from);
  /// The stored document, for the peers' method `lists`. Empty before the first lists are known.
  std::string document() const;

  /// Replaces one list if the current revision is still `expected`.
  void edit(ListKind kind, std::string document, std::uint64_t expectedRevision, EditDone done);

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
