#pragma once

/// Link anchors of the built-in rules. The library is a static archive, and the linker leaves out
/// an object file that nothing refers to, together with its static initialiser; policy.cpp refers
/// to these so that each rule registers itself.
namespace catkin {

extern const bool FixedRetentionRegistered;
extern const bool LruRetentionRegistered;
extern const bool AdaptiveRetentionRegistered;
extern const bool CostPlacementRegistered;
extern const bool FirstFitPlacementRegistered;

} // namespace catkin
