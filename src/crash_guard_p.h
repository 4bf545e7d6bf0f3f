#pragma once

#include "crash_quarantine_p.h"

/// How the gateway learns which requests must not be sent because engines crash on their traits,
/// and reports what becomes of those that it sends.
namespace catkin {

/// This default refuses nothing.
class CrashGuard {
public:
  virtual ~CrashGuard() = default;
  /// Returns what applies to a request with these traits.
  virtual QuarantineVerdict judge(const std::vector<RequestTrait> &traits) {
    (void)traits;
    return {};
  }
  /// A request is sent as a probe of the trait.
  virtual void onProbeSent(const RequestTrait &trait) { (void)trait; }
  /// The probe has ended without evidence about the trait.
  virtual void onProbeEnded(const RequestTrait &trait) { (void)trait; }
  /// The answer to a request with these traits has begun.
  virtual void onAnswerBegun(const std::vector<RequestTrait> &traits) { (void)traits; }
  /// The connection of a request with these traits broke before the answer began.
  virtual void onBrokenBeforeAnswer(const FleetEndpoint &endpoint,
                                    const std::vector<RequestTrait> &traits) {
    (void)endpoint;
    (void)traits;
  }
};

} // namespace catkin
