#pragma once

/// Link anchors of the built-in policies. The linker omits an object file of a static library that
/// nothing refers to, together with its static initialisers. policy.cpp refers to these variables,
/// so that each policy is linked and registers itself.
namespace catkin {

extern const bool FixedRetentionRegistered;
extern const bool LruRetentionRegistered;
extern const bool AdaptiveRetentionRegistered;
extern const bool CostPlacementRegistered;
extern const bool FirstFitPlacementRegistered;

} // namespace catkin
