#include "crowd_fleet.hpp"

#include <algorithm>  // all_of, max, min
#include <array>      // array
#include <chrono>     // steady_clock
#include <filesystem> // directory_iterator
#include <fstream>    // ifstream, ofstream
#include <sstream>    // istringstream

#include <arpa/inet.h>  // htons, inet_addr
#include <sys/socket.h> // connect, recv, send
#include <sys/time.h>   // timeval
#include <unistd.h>     // close, getpid

#include <nlohmann/json.hpp> // json

namespace endivehinge::tests
{

using nlohmann::json;

namespace
{

constexpr std::uint16_t caller_port = 8500;
constexpr std::uint16_t readiness_port = 8501;
constexpr std::uint16_t report_port = 8502;
constexpr std::uint16_t node_port = 8509;
constexpr std::uint16_t metrics_port = 9464;
constexpr std::size_t node_count = 2;
// how long an ordinary client returns, and waits for one response
constexpr std::chrono::seconds patience(60);
constexpr time_t response_patience_s = 10;
constexpr std::chrono::milliseconds retry_delay(100);
constexpr std::uint64_t bytes_per_kibibyte = 1024;
constexpr std::size_t paced_part_bytes = std::size_t{1} << 20;
constexpr int hexadecimal = 16;

// a loopback network for this process, so that runs do not meet
std::string host_of(std::size_t index)
{
    int const process = getpid();
    return "127." + std::to_string(1 + process % 250) + "." +
           std::to_string(process / 250 % 250) + "." +
           std::to_string(index + 1);
}

json configuration(crowd_limits const & limits)
{
    auto const route = [](char const * prefix, char const * type)
    {
        return json{{"hostname", "h.example"},
                    {"pathPrefix", prefix},
                    {"routeType", type},
                    {"timeoutS", 60.0},
                    {"targetLatencyS", 0.5},
                    {"priority", 1},
                    {"maxAttempts", 2},
                    {"service", "web"}};
    };
    return {{"version", "r1"},
            {"routes",
             {{"safe", route("/safe/", "safe")},
              {"unsafe", route("/unsafe/", "unsafe")}}},
            {"limits",
             {{"maxHeaderBytes", limits.header_bytes},
              {"maxBodyBytes", limits.body_bytes},
              {"headerTimeoutS", limits.header_timeout_s},
              {"idleTimeoutS", limits.idle_timeout_s}}},
            {"services",
             {{"web",
               {{"healthCheckPath", "/health"},
                {"coldStartS", 0.5},
                {"coldPerS", 100.0}}}}}};
}

} // namespace

crowd_fleet::crowd_fleet(crowd_limits const & chosen)
    : limits(chosen)
    , work(boost::asio::make_work_guard(this->io))
    , store(this->io)
{
    this->store.put("config", "main", configuration(this->limits));
    for (std::size_t i = 0; i < node_count; ++i)
    {
        this->targets.push_back(
            std::make_unique<crowd_target>(this->io,
                                           "i-" + std::to_string(i),
                                           endpoint{host_of(i), report_port}));
    }
    for (std::size_t i = 0; i < node_count; ++i)
    {
        this->start_node(i);
    }
    this->stand_ins = std::thread(
        [this]
        {
            this->io.run();
        });
}

crowd_fleet::~crowd_fleet()
{
    this->nodes.clear();
    this->io.stop();
    this->stand_ins.join();
}

void crowd_fleet::start_node(std::size_t index)
{
    auto const name = "node-" + std::to_string(index);
    auto const path = this->folder.path() + "/" + name + ".toml";
    std::ofstream file(path);
    auto const address = [index](std::uint16_t number)
    {
        return "\"" + endpoint{host_of(index), number}.to_string() + "\"\n";
    };
    file << "nodeName = \"" << name << "\"\nzone = \"d1\"\nservice = \"web\"\n"
         << "appAddr = \"" << this->targets[index]->address().to_string()
         << "\"\nfirstStart = true\nbounds = [\"graceS=3\"]\nseeds = [";
    for (std::size_t i = 0; i < node_count; ++i)
    {
        file << "\"" << endpoint{host_of(i), report_port}.to_string() << "\", ";
    }
    file << "]\n[listen]\noutbound = " << address(caller_port)
         << "inbound = " << address(node_port)
         << "ready = " << address(readiness_port)
         << "control = " << address(report_port) << "[platform]\naddress = \""
         << this->store.address().to_string()
         << "\"\n[limits]\nmemoryMb = " << this->limits.memory_mebibytes
         << "\nmaxFds = " << this->limits.descriptors << "\n";
    file.close();
    this->nodes.push_back(std::make_unique<soak_process>(
        std::vector<std::string>{
            ENDIVEHINGE_PROGRAM, "serve", "--settings", path},
        this->folder.path() + "/" + name + ".log"));
}

std::string crowd_fleet::host() const
{
    return host_of(0);
}

std::uint16_t crowd_fleet::port(door listener)
{
    switch (listener)
    {
    case door::callers:
        return caller_port;
    case door::nodes:
        return node_port;
    case door::readiness:
        return readiness_port;
    case door::reports:
        return report_port;
    case door::metrics:
        break;
    }
    return metrics_port;
}

bool crowd_fleet::nodes_live()
{
    return std::all_of(this->nodes.begin(),
                       this->nodes.end(),
                       [](auto const & node)
                       {
                           return node->runs();
                       });
}

std::uint64_t crowd_fleet::memory_bytes() const
{
    std::uint64_t most = 0;
    for (std::size_t i = 0; i < this->nodes.size(); ++i)
    {
        most = std::max(most, this->resident_bytes(i) + this->unread_bytes(i));
    }
    return most;
}

std::uint64_t crowd_fleet::resident_bytes(std::size_t index) const
{
    std::ifstream status(
        "/proc/" + std::to_string(this->nodes[index]->process()) + "/status");
    std::string word;
    while (status >> word && word != "VmRSS:")
    {
    }
    std::uint64_t kibibytes = 0;
    status >> kibibytes;
    return kibibytes * bytes_per_kibibyte;
}

std::uint64_t crowd_fleet::unread_bytes(std::size_t index)
{
    auto const address = inet_addr(host_of(index).c_str());
    std::ifstream sockets("/proc/net/tcp");
    std::string line;
    std::getline(sockets, line);
    std::uint64_t sum = 0;
    while (std::getline(sockets, line))
    {
        std::istringstream fields(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        fields >> number >> local >> remote >> state >> queues;
        bool const is_listening = state == "0A";
        if (is_listening || std::stoul(local.substr(0, local.find(':')),
                                       nullptr,
                                       hexadecimal) != address)
        {
            continue;
        }
        sum += std::stoul(
            queues.substr(queues.find(':') + 1), nullptr, hexadecimal);
    }
    return sum;
}

std::size_t crowd_fleet::descriptor_count() const
{
    std::ptrdiff_t most = 0;
    for (auto const & node : this->nodes)
    {
        std::filesystem::directory_iterator const files(
            "/proc/" + std::to_string(node->process()) + "/fd");
        most = std::max(most,
                        std::distance(std::filesystem::begin(files),
                                      std::filesystem::end(files)));
    }
    return static_cast<std::size_t>(most);
}

std::string crowd_fleet::exchange(std::string const & request,
                                  std::chrono::milliseconds pause) const
{
    sockaddr_in remote{};
    remote.sin_family = AF_INET;
    remote.sin_port = htons(caller_port);
    remote.sin_addr.s_addr = inet_addr(this->host().c_str());
    int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval const timeout{response_patience_s, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    std::string reply;
    bool is_open = ::connect(socket,
                             reinterpret_cast<sockaddr const *>(&remote),
                             sizeof(remote)) == 0;
    auto const step = pause.count() > 0 ? paced_part_bytes : request.size();
    for (std::size_t sent = 0; is_open && sent < request.size(); sent += step)
    {
        auto const size = std::min(step, request.size() - sent);
        is_open = ::send(socket, request.data() + sent, size, MSG_NOSIGNAL) ==
                  static_cast<ssize_t>(size);
        std::this_thread::sleep_for(pause);
    }
    std::array<char, 65536> buffer{};
    while (is_open)
    {
        auto const size = ::recv(socket, buffer.data(), buffer.size(), 0);
        is_open = size > 0;
        reply.append(buffer.data(),
                     static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
    }
    ::close(socket);
    return reply;
}

bool crowd_fleet::answers_ordinary_request() const
{
    auto const end = std::chrono::steady_clock::now() + patience;
    for (int number = 0; std::chrono::steady_clock::now() < end; ++number)
    {
        auto const reply = this->exchange(
            "GET /safe/ordinary HTTP/1.1\r\nHost: h.example\r\nRequest-Id: o-" +
            std::to_string(number) +
            "\r\nDeadline-Ms: 5000\r\nConnection: close\r\n\r\n");
        if (reply.rfind("HTTP/1.1 200 ", 0) == 0)
        {
            return true;
        }
        std::this_thread::sleep_for(retry_delay);
    }
    return false;
}

} // namespace endivehinge::tests
