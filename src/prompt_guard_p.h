#pragma once

#include "prompt_quarantine_p.h"

/// How the gateway learns which requests must not be sent because of the parts of their prompts,
/// and reports what becomes of those that it sends.
namespace catkin {

/// This default refuses nothing.
class PromptGuard {
public:
  virtual ~PromptGuard() = default;
  /// Returns what applies to a request with these parts.
  virtual PromptVerdict judge(const std::vector<PromptPart> &parts) {
    (void)parts;
    return {};
  }
  /// A request is sent as a probe of the part.
  virtual void onProbeSent(PromptPart part) { (void)part; }
  /// The probe has ended without evidence about the part.
  virtual void onProbeEnded(PromptPart part) { (void)part; }
  /// The answer to a request with these parts has begun.
  virtual void onAnswerBegun(const std::vector<PromptPart> &parts) { (void)parts; }
  /// The connection of a request with these parts broke before the answer began.
  virtual void onBrokenBeforeAnswer(const FleetEndpoint &endpoint,
                                    const std::vector<PromptPart> &parts) {
    (void)endpoint;
    (void)parts;
  }
};

} // namespace catkin
