#include <endivehinge/detail/commands/exit_code.hpp>

#include <iostream> // cerr

namespace endivehinge::detail
{

exit_code report(failure const & reason)
{
    std::cerr << "endivehinge: " << reason.describe() << '\n';
    switch (reason.id)
    {
    case failure_id::invalid_argument:
    case failure_id::invalid_settings:
    case failure_id::invalid_configuration:
        return exit_usage;
    case failure_id::version_conflict:
        return exit_conflict;
    case failure_id::outcome_unknown:
        return exit_unknown;
    default:
        return exit_failed;
    }
}

} // namespace endivehinge::detail
