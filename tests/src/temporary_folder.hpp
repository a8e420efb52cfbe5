#ifndef ENDIVEHINGE_TESTS_TEMPORARY_FOLDER_HPP
#define ENDIVEHINGE_TESTS_TEMPORARY_FOLDER_HPP

#include <cstdlib>    // mkdtemp
#include <filesystem> // temp_directory_path, remove_all
#include <string>     // string

namespace endivehinge::tests
{

/// @brief a folder that is gone after the test
class temporary_folder
{
public:
    temporary_folder()
        : location(
              (std::filesystem::temp_directory_path() / "endivehinge-XXXXXX")
                  .string())
    {
        if (::mkdtemp(this->location.data()) == nullptr)
        {
            std::abort();
        }
    }

    ~temporary_folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(this->location, ignored);
    }

    temporary_folder(temporary_folder const &) = delete;
    temporary_folder & operator=(temporary_folder const &) = delete;

    std::string const & path() const
    {
        return this->location;
    }

private:
    std::string location;
};

} // namespace endivehinge::tests

#endif
