#include <endivehinge/policy/allotment_owner.hpp>

#include <endivehinge/core/stable_hash.hpp>

namespace endivehinge
{

std::uint64_t allotment_owner_rank(account_name const & account,
                                   node_name const & node)
{
    return stable_hash(node.value(), stable_hash(account.value()));
}

} // namespace endivehinge
