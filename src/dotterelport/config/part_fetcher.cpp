#include "dotterelport/config/part_fetcher.hpp"

#include <memory>
#include <utility>

#include "dotterelport/base/hash.hpp"
#include "dotterelport/config/parts.hpp"

namespace dotterelport::config {
namespace {

/// Limits the connections to the platform that each process opens when the whole fleet starts and
/// many processes fetch all parts.
constexpr std::size_t max_fetches_at_once = 8;

/// One call of fetch_parts(); kept alive by the fetches in progress.
class fetch_operation : public std::enable_shared_from_this<fetch_operation> {
public:
    fetch_operation(std::vector<std::string> hashes, part_source source,
                    std::function<void(const part_contents&)> done)
        : hashes_(std::move(hashes)), source_(std::move(source)), done_(std::move(done))
    {}

    void start()
    {
        if (hashes_.empty()) {
            done_(contents_);
            return;
        }
        for (std::size_t i = 0; i < max_fetches_at_once; ++i) {
            fetch_next();
        }
    }

private:
    void fetch_next()
    {
        if (next_index_ == hashes_.size()) {
            return;
        }
        const std::string hash = hashes_[next_index_++];
        source_(hash, [self = shared_from_this(), hash](const auto& content) {
            self->handle_content(hash, content);
        });
    }

    void handle_content(const std::string& hash, const std::optional<std::string>& content)
    {
        if (content && hash128_hex(*content) == hash) {
            contents_.emplace(hash, *content);
        }
        if (++answered_ == hashes_.size()) {
            done_(contents_);
            return;
        }
        fetch_next();
    }

    std::vector<std::string> hashes_;
    part_source source_;
    std::function<void(const part_contents&)> done_;
    std::size_t next_index_ = 0;
    std::size_t answered_ = 0;
    part_contents contents_;
};

} // namespace

void fetch_parts(const std::vector<std::string>& hashes, part_source source,
                 std::function<void(const part_contents&)> done)
{
    std::make_shared<fetch_operation>(hashes, std::move(source), std::move(done))->start();
}

part_source platform_source(object_store::client& platform)
{
    return [&platform](const std::string& hash, auto done) {
        platform.read(part_key(hash), [done = std::move(done)](const auto& result) {
            const bool found = result.status == object_store::read_status::found;
            done(found ? std::optional(result.value.value) : std::nullopt);
        });
    };
}

} // namespace dotterelport::config
