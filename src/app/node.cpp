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
    auto started_components = std::make_unique<node_parts>(settings);
    if (!started_components->start(reason))
    {
        return nullptr;
    }
    log().info("The node serves requests.", {{"name", settings.name.value()}});
    return std::unique_ptr<node>(new node(std::move(started_components)));
}

node::node(std::unique_ptr<node_parts> started_components)
    : components(std::move(started_components))
{
}

node::~node() = default;

node_ports node::ports() const
{
    return this->components->ports();
}

bool node::drain()
{
    log().info("The node is draining.");
    bool const finished = this->components->drain();
    log().info(finished
                   ? "The node has drained: all requests have finished."
                   : "The shutdown deadline passed with requests in progress.");
    return finished;
}

} // namespace endivehinge::detail
