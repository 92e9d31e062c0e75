#include "dotterelport/object_store/era_tracker.hpp"

#include <utility>

#include "dotterelport/object_store/events.hpp"

namespace dotterelport::object_store {

bool era_tracker::record(store_era era)
{
    if (era < current_) {
        log(events::answer_of_earlier_era, {{"era", era}, {"newest", current_}});
        return false;
    }
    if (era > current_) {
        const store_era before = std::exchange(current_, era);
        if (before != 0) {
            log(events::era_changed, {{"from", before}, {"to", era}});
        }
        for (const auto& handle : handlers_) {
            handle(era);
        }
    }
    return true;
}

} // namespace dotterelport::object_store
