#pragma once

/// Switches for the safety mechanisms. Tests switch them off one at a time, to show that the
/// history checkers detect the loss of each. Production code never changes the defaults.
namespace catkin {

struct Guards {
  bool recordIntentBeforeOrder = true; ///< write endpoints/<name> before a load or unload order
  bool chargeUnresolvedOrders = true;  ///< memory of an order of unknown outcome stays reserved
  bool stopOrdersAtLeaseEnd = true; ///< no orders to endpoints without fencing after the lease ends
  bool joinLoadUnderWay = true;     ///< all hosts wait for the same load of a model
  bool waitForTableAcks = true;     ///< unload only after hosts have stopped routing to the replica
  bool claimBeforeCall = true; ///< create the calls/ record before sending the first byte of a call
  bool recogniseOwnWrite = true;    ///< read back after a lost reply and compare the write's id
  bool lowerBeforeRaise = true;     ///< raise a share only after a lowered one was acknowledged
  bool rejectOlderRevision = true;  ///< never apply an older configuration
  bool matchAnswerId = true;        ///< an answer must echo the attempt id
  bool refuseWhenLate = true;       ///< refuse a request that cannot be served by its deadline
  bool skipLeavingEndpoints = true; ///< no new requests to a leaving endpoint
};

} // namespace catkin
