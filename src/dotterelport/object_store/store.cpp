#include "dotterelport/object_store/store.hpp"

#include <utility>
#include <vector>

namespace dotterelport::object_store {

read_result store::read(const std::string& key) const
{
    const auto found = objects_.find(key);
    if (found == objects_.end()) {
        return {read_status::absent, {key, 0, {}}};
    }
    return {read_status::found, {key, found->second.object_version, found->second.value}};
}

write_result store::write(const std::string& key, const std::string& value,
                          std::optional<version> if_version)
{
    const version present = version_of(key);
    if (value.size() > max_value_bytes) {
        return {write_status::too_large, present};
    }
    if (if_version && *if_version != present) {
        return {write_status::conflict, present};
    }
    const auto tombstone = removed_.find(key);
    const version previous = tombstone == removed_.end() ? present : tombstone->second;
    removed_.erase(key);
    record_change(key, previous);
    objects_.insert_or_assign(key, entry{revision_, value});
    const version written = revision_;
    notify(key);
    return {write_status::applied, written};
}

write_result store::remove(const std::string& key, version if_version)
{
    const version present = version_of(key);
    if (present == 0 || present != if_version) {
        return {write_status::conflict, present};
    }
    record_change(key, present);
    objects_.erase(key);
    removed_.insert_or_assign(key, revision_);
    const version removed = revision_;
    notify(key);
    return {write_status::applied, removed};
}

listing store::list(const std::string& prefix, version since) const
{
    listing result{.available = true, .revision = revision_, .objects = {}, .deleted = {}};
    if (since == 0) {
        for (auto it = objects_.lower_bound(prefix);
             it != objects_.end() && it->first.starts_with(prefix); ++it) {
            result.objects.push_back({it->first, it->second.object_version, it->second.value});
        }
        return result;
    }
    for (auto it = changes_.upper_bound(since); it != changes_.end(); ++it) {
        const std::string& key = it->second;
        if (!key.starts_with(prefix)) {
            continue;
        }
        const auto found = objects_.find(key);
        if (found == objects_.end()) {
            result.deleted.push_back(key);
        } else {
            result.objects.push_back({key, found->second.object_version, found->second.value});
        }
    }
    return result;
}

watch_id store::watch(const std::string& prefix, version since,
                      std::function<void(const listing&)> function)
{
    const listing present = list(prefix, since);
    if (!present.objects.empty() || !present.deleted.empty()) {
        function(present);
        return 0;
    }
    const watch_id id = ++last_watch_;
    watches_.emplace(id, pending_watch{prefix, since, std::move(function)});
    return id;
}

void store::cancel(watch_id watch)
{
    watches_.erase(watch);
}

version store::version_of(const std::string& key) const
{
    const auto found = objects_.find(key);
    return found == objects_.end() ? 0 : found->second.object_version;
}

void store::record_change(const std::string& key, version previous)
{
    changes_.erase(previous);
    changes_.emplace(++revision_, key);
}

void store::notify(const std::string& key)
{
    // The functions may change the store or its watches, so they run after the search.
    std::vector<pending_watch> due;
    for (auto it = watches_.begin(); it != watches_.end();) {
        if (key.starts_with(it->second.prefix)) {
            due.push_back(std::move(it->second));
            it = watches_.erase(it);
        } else {
            ++it;
        }
    }
    for (const auto& item : due) {
        item.function(list(item.prefix, item.since));
    }
}

} // namespace dotterelport::object_store
