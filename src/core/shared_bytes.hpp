#pragma once

#include <concepts>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace dragonflyroad {

/// An immutable string whose copies share one buffer, such as the body of a request on its way from
/// the caller to the upstream. May hold an object, such as a reservation of memory, that lives as
/// long as the buffer.
class shared_bytes {
public:
    shared_bytes() = default;
    // NOLINTBEGIN(google-explicit-constructor,hicpp-explicit-conversions): it is used as a string.
    shared_bytes(std::string text)
        : bytes(text.empty() ? nullptr : std::make_shared<const std::string>(std::move(text)))
    {
    }
    shared_bytes(const char* text) : shared_bytes(std::string{text}) {}
    operator const std::string&() const { return this->str(); }
    operator std::string_view() const { return this->str(); }
    // NOLINTEND(google-explicit-constructor,hicpp-explicit-conversions)

    /// Keeps `guard` until the last copy of these bytes is gone.
    template<typename Guard>
    shared_bytes(std::string text, Guard guard)
    {
        struct guarded {
            std::string text;
            Guard guard;
        };
        auto owner = std::make_shared<guarded>(guarded{std::move(text), std::move(guard)});
        this->bytes = std::shared_ptr<const std::string>{owner, &owner->text};
    }

    /// These bytes, with a further object that lives as long as them.
    template<typename Guard>
    shared_bytes guarded_by(Guard guard) const
    {
        struct guarded {
            std::shared_ptr<const std::string> bytes;
            Guard guard;
        };
        shared_bytes result;
        if (this->bytes != nullptr) {
            auto owner = std::make_shared<guarded>(guarded{this->bytes, std::move(guard)});
            result.bytes = std::shared_ptr<const std::string>{owner, this->bytes.get()};
        }
        return result;
    }

    const std::string& str() const
    {
        static const std::string none;
        return this->bytes == nullptr ? none : *this->bytes;
    }
    std::size_t size() const { return this->str().size(); }
    bool empty() const { return this->str().empty(); }
    bool starts_with(std::string_view prefix) const { return this->str().starts_with(prefix); }
    std::size_t find(std::string_view text) const { return this->str().find(text); }
    auto begin() const { return this->str().begin(); }
    auto end() const { return this->str().end(); }

    template<typename Text>
    requires std::convertible_to<const Text&, std::string_view>
    friend bool operator==(const shared_bytes& left, const Text& right)
    {
        return std::string_view{left.str()} == static_cast<std::string_view>(right);
    }

private:
    std::shared_ptr<const std::string> bytes;
};

} // namespace dragonflyroad
