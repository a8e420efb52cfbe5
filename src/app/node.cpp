#include <endivehinge/detail/node/node.hpp>

#include <utility> // move

#include <endivehinge/detail/log/log.hpp>
#include <endivehinge/detail/node/node_parts.hpp>

namespace endivehinge::detail
{
namespace
{

logger const & log()
{
    static logger const instance("node");
    return instance;
}

} // namespace

std::unique_ptr<node> node::start(node_settings const & settings,
                                  failure & reason)
{
    auto initial = std::make_unique<node_parts>(settings);
    if (!initial->start(reason))
    {
        return nullptr;
    }
    log().info("The node serves.", {{"name", settings.name.value()}});
    return std::unique_ptr<node>(new node(std::move(initial)));
}

node::node(std::unique_ptr<node_parts> initial)
    : parts(std::move(initial))
{
}

node::~node() = default;

node_ports node::ports() const
{
    return this->parts->ports();
}

bool node::drain()
{
    log().info("The node leaves.");
    bool const finished = this->parts->drain();
    log().info(finished ? "All requests were finished."
                        : "The shutdown deadline came first.");
    return finished;
}

} // namespace endivehinge::detail
