#include "soak_crowds.hpp"

#include <fstream>  // ifstream
#include <iostream> // cout

namespace endivehinge::tests
{

using std::chrono::milliseconds;

namespace
{

constexpr std::size_t crowds_at_once = 4;
constexpr std::size_t clients_per_crowd = 40;
constexpr std::size_t part_bytes = 32768;
constexpr milliseconds step_interval(10);
constexpr std::uint64_t bytes_per_kibibyte = 1024;

std::uint64_t resident_bytes(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string word;
    while (status >> word && word != "VmRSS:")
    {
    }
    std::uint64_t kibibytes = 0;
    status >> kibibytes;
    return kibibytes * bytes_per_kibibyte;
}

} // namespace

soak_crowds::soak_crowds(soak_fleet & harmed, std::uint64_t seed)
    : fleet(harmed)
    , random(seed)
{
}

void soak_crowds::start(duration crowd_interval)
{
    this->interval = crowd_interval;
    this->active = true;
    this->add_crowd();
    this->step();
}

void soak_crowds::stop()
{
    this->active = false;
    this->crowds.clear();
}

std::size_t soak_crowds::count() const
{
    return this->drawn;
}

std::vector<std::string> const & soak_crowds::violations() const
{
    return this->found;
}

void soak_crowds::add_crowd()
{
    if (!this->active)
    {
        return;
    }
    if (this->crowds.size() >= crowds_at_once)
    {
        this->crowds.erase(this->crowds.begin());
    }
    auto const index = static_cast<std::size_t>(
        this->pick(0, static_cast<int>(this->fleet.members.size()) - 1));
    auto const ports = soak_fleet::listener_ports();
    auto const port = ports[static_cast<std::size_t>(
        this->pick(0, static_cast<int>(ports.size()) - 1))];
    this->crowds.push_back(std::make_unique<client_crowd>());
    this->crowds.back()->add(clients_per_crowd,
                             this->fleet.members[index]->host,
                             port,
                             this->draw_script());
    this->drawn += 1;
    std::cout << "crowd at_ms=" << this->fleet.now() / milliseconds(1)
              << " member=" << index << " port=" << port << "\n";
    this->fleet.after(this->interval,
                      [this]
                      {
                          this->add_crowd();
                      });
}

client_script soak_crowds::draw_script()
{
    std::string const head = "PUT /safe/crowd HTTP/1.1\r\nHost: h.example\r\n"
                             "Request-Id: crowd\r\nDeadline-Ms: 1000\r\n";
    client_script script;
    script.part = std::string(part_bytes, 'x');
    auto const kind = this->pick(0, 4);
    std::cout << "crowd_kind " << kind << "\n";
    switch (kind)
    {
    case 0:
        script.opening = head + "Content-Length: 2000000\r\n\r\n";
        script.parts = 60;
        break;
    case 1:
        script.opening = head + "Transfer-Encoding: chunked\r\n\r\n";
        script.part = "8000\r\n" + script.part + "\r\n";
        script.parts = 4000;
        break;
    case 2:
        script.opening = head + "Content-Length: 9000000000\r\n\r\n";
        script.parts = 4000;
        break;
    case 3:
        script.opening = head;
        script.part = "X: x\r\n";
        script.parts = 1000;
        script.pause = milliseconds(100);
        break;
    default:
        script.part.clear();
        break;
    }
    script.reads = this->pick(0, 1) == 0;
    return script;
}

void soak_crowds::step()
{
    if (!this->active)
    {
        return;
    }
    for (auto const & one : this->crowds)
    {
        one->step(milliseconds(0));
    }
    this->check_memory();
    this->fleet.after(step_interval,
                      [this]
                      {
                          this->step();
                      });
}

void soak_crowds::check_memory()
{
    for (std::size_t i = 0; i < this->fleet.members.size(); ++i)
    {
        auto & node = *this->fleet.members[i]->node;
        auto const bytes = node.runs() ? resident_bytes(node.process()) : 0;
        if (bytes > soak_fleet::node_memory_bytes && this->found.size() < 8)
        {
            this->found.push_back("node " + std::to_string(i) + " took " +
                                  std::to_string(bytes) + " bytes");
        }
    }
}

int soak_crowds::pick(int first, int last)
{
    return std::uniform_int_distribution<int>(first, last)(this->random);
}

} // namespace endivehinge::tests
