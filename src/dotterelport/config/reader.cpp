#include "dotterelport/config/reader.hpp"

#include <utility>

#include "dotterelport/base/error.hpp"
#include "dotterelport/config/part_cache.hpp"

namespace dotterelport::config {
namespace {

std::optional<accepted_configuration> assemble(const manifest& accepted,
                                               const part_contents& contents)
{
    try {
        part_cache cache;
        cache.add(contents);
        if (cache.missing(accepted).empty()) {
            return accepted_configuration{accepted.generation, cache.build(accepted)};
        }
    } catch (const format_error&) {
        // Reported like a part that could not be read.
    }
    return std::nullopt;
}

std::optional<manifest> try_parse_manifest(const std::string& text)
{
    try {
        return parse_manifest(text, manifest_key);
    } catch (const format_error&) {
        return std::nullopt;
    }
}

} // namespace

void read_accepted(object_store::client& platform,
                   std::function<void(const std::optional<accepted_configuration>&)> done)
{
    platform.read(manifest_key, [&platform, done = std::move(done)](const auto& result) {
        if (result.status == object_store::read_status::absent) {
            done(accepted_configuration{});
            return;
        }
        const auto accepted = result.status == object_store::read_status::found
                                  ? try_parse_manifest(result.value.value)
                                  : std::nullopt;
        if (!accepted) {
            done(std::nullopt);
            return;
        }
        fetch_parts(part_cache().missing(*accepted), platform_source(platform),
                    [accepted = *accepted, done](const part_contents& contents) {
                        done(assemble(accepted, contents));
                    });
    });
}

} // namespace dotterelport::config
