#include "dotterelport/config/publisher.hpp"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

#include "dotterelport/base/error.hpp"
#include "dotterelport/config/parts.hpp"

namespace dotterelport::config {
namespace {

using object_store::read_status;
using object_store::write_status;

constexpr milliseconds retry_delay{200};

/// Stays below the platform's limit of several hundred writes/s.
constexpr std::size_t max_writes_at_once = 4;

/// One call of publish(); kept alive by the call or timer in progress.
class publish_operation : public std::enable_shared_from_this<publish_operation> {
public:
    struct context {
        net::event_loop& loop;
        object_store::client& platform;
        milliseconds deadline;
        std::function<void(const publish_result&)> done;
    };

    publish_operation(context operation_context, split_document document,
                      std::uint32_t budget_shards, std::optional<std::uint64_t> if_generation,
                      std::string id)
        : context_(std::move(operation_context)), document_(std::move(document)),
          budget_shards_(budget_shards), if_generation_(if_generation),
          publication_id_(std::move(id))
    {}

    /// @brief First step: reads the manifest that is to be replaced.
    void read_manifest()
    {
        context_.platform.read(manifest_key, [self = shared_from_this()](const auto& result) {
            if (result.status == read_status::unavailable) {
                self->retry(&publish_operation::read_manifest);
            } else {
                self->handle_manifest(result);
            }
        });
    }

private:
    using step = void (publish_operation::*)();

    void finish(const publish_result& result)
    {
        if (const auto done = std::exchange(context_.done, nullptr)) {
            done(result);
        }
    }

    void retry(step next)
    {
        if (steady_now() >= context_.deadline) {
            finish(publish_unavailable{may_be_applied_});
            return;
        }
        context_.loop.schedule(retry_delay,
                               [self = shared_from_this(), next] { (self.get()->*next)(); });
    }

    void handle_manifest(const object_store::read_result& result)
    {
        accepted_manifest_ = {};
        manifest_version_ = result.value.object_version;
        if (result.status == read_status::found) {
            try {
                accepted_manifest_ = parse_manifest(result.value.value, manifest_key);
            } catch (const format_error& failure) {
                finish(publish_refused{failure.what()});
                return;
            }
        }
        if (if_generation_ && *if_generation_ != accepted_manifest_.generation) {
            finish(publish_conflict{*if_generation_, accepted_manifest_.generation});
        } else if (accepted_manifest_.parts == document_.parts) {
            finish(publish_applied{accepted_manifest_.generation, false});
        } else if (accepted_manifest_.parts.empty()) {
            write_parts();
        } else {
            read_settings();
        }
    }

    void read_settings()
    {
        context_.platform.read(part_key(accepted_manifest_.parts.front()),
                               [self = shared_from_this()](const auto& result) {
                                   if (result.status == read_status::unavailable) {
                                       self->retry(&publish_operation::read_settings);
                                   } else {
                                       self->check_settings(result);
                                   }
                               });
    }

    void check_settings(const object_store::read_result& result)
    {
        if (result.status == read_status::absent) {
            finish(publish_refused{"the settings of the accepted configuration are missing"});
            return;
        }
        try {
            const auto accepted_shards =
                parse_part(result.value.value, result.value.key).settings.budget_shards;
            if (accepted_shards != budget_shards_) {
                finish(publish_refused{"/settings/budget_shards: expected " +
                                       std::to_string(accepted_shards) +
                                       ", which the first accepted configuration has fixed, not " +
                                       std::to_string(budget_shards_)});
                return;
            }
        } catch (const format_error& failure) {
            finish(publish_refused{failure.what()});
            return;
        }
        write_parts();
    }

    void write_parts()
    {
        for (const auto& [hash, content] : document_.contents) {
            const auto& stored_parts = accepted_manifest_.parts;
            if (std::find(stored_parts.begin(), stored_parts.end(), hash) == stored_parts.end()) {
                unwritten_parts_.push_back(hash);
            }
        }
        if (unwritten_parts_.empty()) {
            write_manifest();
            return;
        }
        for (std::size_t i = 0; i < max_writes_at_once; ++i) {
            write_next_part();
        }
    }

    void write_next_part()
    {
        if (!context_.done) {
            // The operation has ended because another part could not be written in time.
            return;
        }
        if (unwritten_parts_.empty()) {
            if (writes_in_progress_ == 0 && !manifest_sent_) {
                write_manifest();
            }
            return;
        }
        const std::string hash = unwritten_parts_.back();
        unwritten_parts_.pop_back();
        ++writes_in_progress_;
        constexpr object_store::version only_if_absent = 0;
        context_.platform.write(part_key(hash), document_.contents.at(hash), only_if_absent,
                                [self = shared_from_this(), hash](const auto& result) {
                                    --self->writes_in_progress_;
                                    self->handle_part_answer(hash, result.status);
                                });
    }

    void handle_part_answer(const std::string& hash, write_status status)
    {
        // A part that exists has the same content, because its key is a hash of it. For the same
        // reason the write is idempotent and can be retried.
        if (status == write_status::applied || status == write_status::conflict) {
            write_next_part();
            return;
        }
        unwritten_parts_.push_back(hash);
        retry(&publish_operation::write_next_part);
    }

    [[nodiscard]] manifest next_manifest() const
    {
        manifest next{accepted_manifest_.generation + 1, document_.parts,
                      accepted_manifest_.history};
        next.history.push_back({next.generation, publication_id_});
        if (next.history.size() > max_publication_history) {
            next.history.erase(next.history.begin());
        }
        return next;
    }

    void write_manifest()
    {
        manifest_sent_ = true;
        context_.platform.write(manifest_key, to_json(next_manifest()).dump(), manifest_version_,
                                [self = shared_from_this()](const auto& result) {
                                    self->handle_manifest_answer(result);
                                });
    }

    void handle_manifest_answer(const object_store::write_result& result)
    {
        switch (result.status) {
        case write_status::applied:
            finish(publish_applied{accepted_manifest_.generation + 1});
            return;
        case write_status::conflict:
            read_back();
            return;
        case write_status::too_large:
            finish(publish_refused{"the manifest is larger than the platform accepts"});
            return;
        case write_status::unknown:
            may_be_applied_ = true;
            [[fallthrough]];
        case write_status::unavailable:
            // A read could not show whether a write whose answer was lost will still take effect
            // later. Retrying the same conditional write is idempotent: it is applied at most once,
            // and ends in a conflict if it was applied before.
            retry(&publish_operation::write_manifest);
            return;
        }
    }

    /// @brief Reads the manifest to distinguish a write of this operation whose answer was lost
    /// from the write of another operator.
    void read_back()
    {
        context_.platform.read(manifest_key, [self = shared_from_this()](const auto& result) {
            if (result.status == read_status::unavailable) {
                self->retry(&publish_operation::read_back);
            } else {
                self->handle_read_back(result);
            }
        });
    }

    void handle_read_back(const object_store::read_result& result)
    {
        manifest found;
        try {
            if (result.status == read_status::found) {
                found = parse_manifest(result.value.value, manifest_key);
            }
        } catch (const format_error&) {
            finish(publish_unavailable{true});
            return;
        }
        const publication own_publication{accepted_manifest_.generation + 1, publication_id_};
        if (std::find(found.history.begin(), found.history.end(), own_publication) !=
            found.history.end()) {
            finish(publish_applied{own_publication.generation});
        } else {
            finish(publish_conflict{accepted_manifest_.generation, found.generation});
        }
    }

    context context_;
    split_document document_;
    std::uint32_t budget_shards_;
    std::optional<std::uint64_t> if_generation_;
    std::string publication_id_;
    manifest accepted_manifest_;
    object_store::version manifest_version_ = 0;
    std::vector<std::string> unwritten_parts_;
    std::size_t writes_in_progress_ = 0;
    bool manifest_sent_ = false;
    /// An answer to the write of the manifest was lost.
    bool may_be_applied_ = false;
};

} // namespace

publisher::publisher(net::event_loop& loop, object_store::client& platform, options settings)
    : loop_(loop), platform_(platform), settings_(settings)
{}

void publisher::publish(const document& value, std::optional<std::uint64_t> if_generation,
                        const std::string& id, std::function<void(const publish_result&)> done)
{
    split_document parts;
    try {
        parts = split(value, "configuration");
    } catch (const format_error& failure) {
        loop_.post([done = std::move(done), reason = std::string(failure.what())] {
            done(publish_refused{reason});
        });
        return;
    }
    std::make_shared<publish_operation>(
        publish_operation::context{loop_, platform_, steady_now() + settings_.timeout,
                                   std::move(done)},
        std::move(parts), value.settings.budget_shards, if_generation, id)
        ->read_manifest();
}

} // namespace dotterelport::config
