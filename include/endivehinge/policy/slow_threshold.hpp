#ifndef ENDIVEHINGE_POLICY_SLOW_THRESHOLD_HPP
#define ENDIVEHINGE_POLICY_SLOW_THRESHOLD_HPP

namespace endivehinge
{

// a target whose requests take longer than usual by more than this factor
// counts as slow; see docs/design/slow-targets.md
constexpr double default_slow_threshold = 1.5;

} // namespace endivehinge

#endif
