#pragma once

#include "env_p.h"
#include "guards_p.h"
#include "lists_p.h"

#include <functional>
#include <memory>

/// Synchronises the configuration (config/lists in the platform's store) to this host, and writes
/// the edits of operators.
namespace catkin {

/// Outcome of an edit. NotAccepted: the stored lists could not be read, or the write was not
/// carried out; nothing changed. Unknown: replies were lost, and whether the edit took effect could
/// not be found out.
enum class EditOutcome { Accepted, Conflict, Invalid, NotAccepted, Unknown, Count };
template <> struct EnumNames<EditOutcome> {
  static constexpr std::array<std::string_view, 5> Table{"accepted", "conflict", "invalid",
                                                         "not_accepted", "unknown"};
};

/// Result of ConfigSync::edit.
struct EditResult {
  EditOutcome outcome = EditOutcome::Unknown;
  std::uint64_t revision = 0; ///< newest revision known to this host
  ListErrors errors;          ///< for Invalid
  bool readBack = false;      ///< a reply was lost, and the outcome was found by reading back
};

struct ConfigSyncOptions {
  std::vector<Address> peers; ///< asked for their lists if the platform cannot be read at start
  Guards guards;
};

/// Follows config/lists and applies each newer revision.
class ConfigSync {
public:
  /// Called with each revision that is put in force.
  using AppliedCallback = std::function<void(ListsPtr)>;
  using EditDone = std::function<void(const EditResult &)>;

  ConfigSync(Env &env, ConfigSyncOptions options, AppliedCallback onApplied);
  ~ConfigSync();

  /// Reads config/lists and watches it. In an outage of the platform, asks the peers (method
  /// `lists`) and becomes ready once more than half of them have returned their lists.
  void start();
  /// True once lists are known, from the platform or from more than half of the peers.
  bool isReady() const;
  /// The lists in force; empty lists of revision 0 before the first are known.
  ListsPtr currentLists() const;

  /// Call when another host reports the revision it has in force. Fetches its lists if they are
  /// newer.
  void onRevisionSeen(std::uint64_t revision, const Address &from);
  /// The lists in force as JSON, for the peers' method `lists`. Empty before the first are known.
  std::string document() const;

  /// Replaces one list if the stored revision is still `expectedRevision`. `document` is the new
  /// list as JSON. Calls `done` with the outcome.
  void edit(ListKind kind, std::string document, std::uint64_t expectedRevision, EditDone done);

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
