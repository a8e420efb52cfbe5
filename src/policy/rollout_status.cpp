#include <endivehinge/policy/rollout_status.hpp>

namespace endivehinge
{

char const * to_string(rollout_state state)
{
    switch (state)
    {
    case rollout_state::running:
        return "running";
    case rollout_state::completed:
        return "completed";
    case rollout_state::rolled_back:
        return "rolled_back";
    case rollout_state::none:
        break;
    }
    return "none";
}

char const * to_string(rollout_stage stage)
{
    return stage == rollout_stage::shifting ? "shifting" : "trial";
}

} // namespace endivehinge
