#ifndef ENDIVEHINGE_CORE_STRONG_TYPE_HPP
#define ENDIVEHINGE_CORE_STRONG_TYPE_HPP

#include <ostream> // ostream
#include <string>  // string
#include <utility> // move

namespace endivehinge
{

/// @brief a value whose type says what it names
/// @tparam Tag an empty type that sets one kind of value apart from another
/// @tparam Value the representation
/// @note thread safety: as its representation
template <class Tag, class Value>
class strong_type
{
public:
    strong_type() = default;

    /// @brief wraps a representation
    explicit strong_type(Value initial)
        : representation(std::move(initial))
    {
    }

    /// @brief the representation
    [[nodiscard]] Value const & value() const
    {
        return this->representation;
    }

    friend bool operator==(strong_type const & a, strong_type const & b)
    {
        return a.representation == b.representation;
    }

    friend bool operator!=(strong_type const & a, strong_type const & b)
    {
        return !(a == b);
    }

    friend bool operator<(strong_type const & a, strong_type const & b)
    {
        return a.representation < b.representation;
    }

    friend bool operator>(strong_type const & a, strong_type const & b)
    {
        return b < a;
    }

    friend bool operator<=(strong_type const & a, strong_type const & b)
    {
        return !(b < a);
    }

    friend bool operator>=(strong_type const & a, strong_type const & b)
    {
        return !(a < b);
    }

    friend std::ostream & operator<<(std::ostream & out, strong_type const & v)
    {
        return out << v.representation;
    }

    template <class Hash>
    friend Hash AbslHashValue(Hash state, strong_type const & v) // NOLINT
    {
        return Hash::combine(std::move(state), v.representation);
    }

private:
    Value representation{};
};

} // namespace endivehinge

#endif
