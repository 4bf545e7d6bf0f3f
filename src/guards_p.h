#pragma once

/// Safety mechanisms that tests switch off one at a time, to show that the history checkers notice
/// the loss of each. Production code never changes the defaults.
namespace catkin {

struct Guards {
  bool recordIntentBeforeOrder = true; ///< write endpoints/<name> before a load or unload order
  bool chargeUnresolvedOrders = true;  ///< memory of an order of unknown fate stays charged
  bool stopOrdersAtLeaseEnd = true;    ///< no order to a non-fencing endpoint after the lease
  bool joinLoadUnderWay = true;        ///< all hosts join one load of a model
  bool waitForTableAcks = true;        ///< unload only after hosts stopped routing to the replica
  bool claimBeforeCall = true;         ///< create calls/... before the first byte of a call
  bool recogniseOwnWrite = true;       ///< read back after a lost reply and compare the attempt id
  bool lowerBeforeRaise = true;        ///< a share is raised only after another was acknowledged
  bool rejectOlderRevision = true;     ///< configuration never goes back
  bool matchAnswerId = true;           ///< an answer must echo the attempt id
  bool refuseWhenLate = true;          ///< a request that cannot be served in time is refused
  bool skipLeavingEndpoints = true;    ///< no new work for a leaving endpoint
};

} // namespace catkin
