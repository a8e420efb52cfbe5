#ifndef ENDIVEHINGE_BENCHMARKS_SUPPORT_PROCESS_USAGE_HPP
#define ENDIVEHINGE_BENCHMARKS_SUPPORT_PROCESS_USAGE_HPP

#include <fstream> // ifstream
#include <string>  // string, to_string

#include <sys/types.h> // pid_t
#include <unistd.h>    // sysconf

#include <endivehinge/core/clock.hpp>

namespace endivehinge::benchmarks
{

/// @brief the processor time that a process has used, all its threads
inline duration processor_time(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/stat");
    std::string text;
    std::getline(file, text);
    // the name, in parentheses, may hold spaces; user and system time are the
    // 12th and 13th field after it
    std::string rest = text.substr(text.rfind(')') + 2);
    long ticks = 0;
    for (int field = 0; field < 13; ++field)
    {
        auto const space = rest.find(' ');
        if (field >= 11)
        {
            ticks += std::stol(rest.substr(0, space));
        }
        rest = rest.substr(space + 1);
    }
    return std::chrono::nanoseconds(std::chrono::seconds(1)) * ticks /
           ::sysconf(_SC_CLK_TCK);
}

/// @brief the resident memory of a process
inline long resident_kilobytes(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    std::string word;
    while (file >> word)
    {
        if (word == "VmRSS:")
        {
            long kilobytes = 0;
            file >> kilobytes;
            return kilobytes;
        }
    }
    return 0;
}

} // namespace endivehinge::benchmarks

#endif
