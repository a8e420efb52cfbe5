#include <endivehinge/coordination/assignment.hpp>

#include <algorithm> // any_of, find

#include <nlohmann/json.hpp> // json

#include <endivehinge/core/json_text.hpp>
#include <endivehinge/core/stable_hash.hpp>

namespace endivehinge
{
namespace
{

using nlohmann::json;

json write_owner(owner_identity const & source)
{
    return {{"name", source.name.value()},
            {"run", source.incarnation_number.value()}};
}

json write_owners(std::vector<owner_identity> const & source)
{
    json list = json::array();
    for (auto const & owner : source)
    {
        list.push_back(write_owner(owner));
    }
    return list;
}

owner_identity read_owner(json const & source)
{
    return {node_name(source.at("name").get<std::string>()),
            incarnation(source.at("run").get<std::uint64_t>())};
}

std::vector<owner_identity> read_owners(json const & source)
{
    std::vector<owner_identity> owners;
    for (auto const & element : source)
    {
        owners.push_back(read_owner(element));
    }
    return owners;
}

} // namespace

std::string assignment::to_text() const
{
    return to_json_text({{"epoch", this->number.value()},
                         {"keeper", write_owner(this->leader)},
                         {"renewals", this->renewals},
                         {"members", write_owners(this->members)},
                         {"previous", write_owners(this->previous)}});
}

std::optional<assignment> assignment::from_text(std::string const & text,
                                                failure & reason)
{
    try
    {
        json const source = json::parse(text);
        assignment result;
        result.number = epoch(source.at("epoch").get<std::uint64_t>());
        result.leader = read_owner(source.at("keeper"));
        result.renewals = source.at("renewals").get<std::uint64_t>();
        result.members = read_owners(source.at("members"));
        result.previous = read_owners(source.at("previous"));
        return result;
    }
    catch (json::exception const & error)
    {
        reason = {
            failure_id::invalid_message, "read assignment", {}, error.what()};
        return std::nullopt;
    }
}

bool operator==(assignment const & a, assignment const & b)
{
    return a.number == b.number && a.leader == b.leader &&
           a.renewals == b.renewals && a.members == b.members &&
           a.previous == b.previous;
}

owner_identity const * owner_of(idempotency_key const & key,
                                std::vector<owner_identity> const & owners)
{
    std::uint64_t const key_digest = stable_hash(key.value());
    owner_identity const * best = nullptr;
    std::uint64_t best_weight = 0;
    for (auto const & candidate : owners)
    {
        std::uint64_t const weight =
            stable_hash(candidate.name.value(), key_digest);
        if (best == nullptr || weight > best_weight)
        {
            best = &candidate;
            best_weight = weight;
        }
    }
    return best;
}

bool contains(std::vector<owner_identity> const & owners,
              owner_identity const & owner)
{
    return std::find(owners.begin(), owners.end(), owner) != owners.end();
}

bool contains_name(std::vector<owner_identity> const & owners,
                   node_name const & name)
{
    return std::any_of(owners.begin(),
                       owners.end(),
                       [&name](owner_identity const & owner)
                       {
                           return owner.name == name;
                       });
}

} // namespace endivehinge
