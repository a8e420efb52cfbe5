#include <common/history_log.hpp>

#include <fcntl.h>  // open
#include <unistd.h> // write, close

#include <fstream> // ifstream
#include <utility> // move

#include <absl/time/clock.h> // GetCurrentTimeNanos

namespace endivehinge::tools
{
namespace
{

constexpr int file_mode = 0644;

} // namespace

history_log::history_log(std::string const & path)
{
    if (!path.empty())
    {
        this->file = ::open(
            path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, file_mode);
    }
}

history_log::~history_log()
{
    if (this->file >= 0)
    {
        ::close(this->file);
    }
}

void history_log::append(history_record record)
{
    if (this->file < 0)
    {
        return;
    }
    record.time_ns = absl::GetCurrentTimeNanos();
    std::string const line = write_record(record) + "\n";
    // one write of a file opened to append: lines of threads never mix
    static_cast<void>(!::write(this->file, line.data(), line.size()));
}

std::vector<history_record> read_history(std::string const & path)
{
    std::vector<history_record> records;
    std::ifstream file(path);
    std::string line;
    while (std::getline(file, line))
    {
        failure reason;
        if (auto record = read_record(line, reason))
        {
            records.push_back(*std::move(record));
        }
    }
    return records;
}

} // namespace endivehinge::tools
