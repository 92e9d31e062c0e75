#ifndef DOTTERELPORT_MEMBERSHIP_NODE_VIEW_HPP
#define DOTTERELPORT_MEMBERSHIP_NODE_VIEW_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/base/json.hpp"
#include "dotterelport/membership/node_record.hpp"
#include "dotterelport/object_store/client.hpp"

namespace dotterelport::membership {

/// Limits after which a node counts as silent or gone, and after which a router is due to be
/// closed. They determine only when closing is attempted; the proof that closing relies on does not
/// depend on them.
struct view_timing {
    /// A node is silent after this many failures in a row over at least this time.
    int failures_until_silent = 3;
    milliseconds failing_until_silent{2'000};
    /// A silent node is no longer silent after this many answers in a row.
    int answers_until_live = 2;
    /// A silent node is no longer silent when this time has passed since the last call to it.
    milliseconds silence_expiry{30'000};
    /// A VM that was listed before is gone after this many lists in a row without it.
    int lists_until_gone = 2;
    /// A VM that was never listed is gone after this time, because the list lags behind new VMs.
    milliseconds unlisted_until_gone{30'000};
    /// A silent router is closed by a router of its own failure domain after this time.
    milliseconds silent_until_closed{5'000};
    /// A router of another failure domain closes a silent router after this longer time, and only
    /// if no record in the platform shows that the silent router's domain is alive. Otherwise the
    /// two sides of a partition between domains would close each other's routers.
    milliseconds domain_silent_until_closed{30'000};
    /// Additional delay for each router that is preferred to this one as the closer.
    milliseconds closer_stagger{5'000};
    /// The same delay for replaced incarnations and for unfinished closings, where the preferred
    /// closer is not known to be silent.
    milliseconds takeover_stagger{30'000};
    /// Longest gap between listings for which the absence of changes still proves that nothing was
    /// written.
    milliseconds listing_gap{5'000};
};

/// Combines the records of all nodes, the VM list, the results of calls to nodes and the leave
/// announcements of nodes. Makes no calls; the current time is passed in.
class node_view {
public:
    explicit node_view(node_record self, view_timing timing = {});

    /// @brief Updates this node's record after its own write.
    void update_self(const node_record& self, object_store::version version, milliseconds now);

    /// @brief Applies changed and deleted objects under "node/". Objects that are not node records
    /// are ignored.
    /// @return number of objects that are not node records
    int apply(const object_store::listing& changes, milliseconds now);

    /// @brief Applies the platform's list of VMs. A list that lacks this node's own VM is ignored.
    void apply(const object_store::vm_listing& list, milliseconds now);

    /// @brief Records whether a node answered a call.
    void report_contact(const std::string& node, bool answered, milliseconds now);

    /// @brief Marks the current incarnation of a node as leaving.
    void report_leaving(const std::string& node);

    [[nodiscard]] std::vector<node_record> nodes() const;
    [[nodiscard]] std::vector<node_record> live_nodes(node_role role, milliseconds now) const;
    [[nodiscard]] std::optional<node_record> find(const std::string& node) const;
    [[nodiscard]] bool is_silent(const std::string& node, milliseconds now) const;
    [[nodiscard]] bool is_gone(const incarnation& other, milliseconds now) const;
    [[nodiscard]] std::vector<incarnation> routers_to_close(milliseconds now) const;
    [[nodiscard]] std::vector<node_record> routers_to_probe(milliseconds now) const;
    [[nodiscard]] std::optional<node_record>
    shard_owner(std::uint32_t shard, const std::string& failure_domain, milliseconds now) const;
    [[nodiscard]] std::vector<std::string> failure_domains(milliseconds now) const;

    /// @brief Returns whether this node writes its failure domain's heartbeat to the platform, by
    /// rewriting its own record.
    [[nodiscard]] bool is_domain_representative(milliseconds now) const;

    /// @brief Revision up to which listings were applied.
    [[nodiscard]] object_store::version revision() const { return revision_; }

    [[nodiscard]] json dump(milliseconds now) const;

private:
    struct entry {
        node_record record;
        object_store::version version = 0;
        milliseconds first_seen{0};
        milliseconds last_changed{0};
    };

    struct contact {
        std::uint64_t epoch = 0;
        int failures = 0;
        int answers = 0;
        bool silent = false;
        bool leaving = false;
        milliseconds first_failure{0};
        milliseconds last_report{0};
    };

    struct absence {
        milliseconds since{0};
        int lists = 0;
    };

    using entry_map = std::map<std::string, entry>;

    void apply_record(const std::string& key, node_record record, object_store::version version,
                      milliseconds now);
    [[nodiscard]] const entry* find_entry(const std::string& node) const;
    contact& contact_with(const std::string& node);
    [[nodiscard]] const contact* current_contact(const node_record& record) const;
    [[nodiscard]] std::optional<milliseconds> silent_since(const node_record& record,
                                                           milliseconds now) const;
    [[nodiscard]] std::optional<milliseconds> vm_gone_since(const std::string& vm,
                                                            milliseconds now) const;
    [[nodiscard]] bool is_live(const node_record& record, milliseconds now) const;
    [[nodiscard]] std::vector<std::string> live_router_names(milliseconds now) const;
    [[nodiscard]] std::vector<std::string> live_router_names_in(const std::string& domain,
                                                                milliseconds now) const;
    [[nodiscard]] std::vector<std::string> live_router_names_outside(const std::string& domain,
                                                                     milliseconds now) const;
    [[nodiscard]] bool domain_may_be_alive(const std::string& domain, milliseconds now) const;
    [[nodiscard]] std::optional<milliseconds>
    closing_due(const std::string& key, const entry& node_entry, milliseconds now) const;
    [[nodiscard]] std::optional<milliseconds> silent_closing_due(const node_record& record,
                                                                 milliseconds now) const;

    view_timing timing_;
    node_record self_;
    /// By object key without the prefix: "<name>", or "<name>#<epoch>" for earlier incarnations.
    entry_map entries_;
    std::map<std::string, contact> contacts_;
    std::map<std::string, object_store::vm_state> vms_;
    std::set<std::string> vms_ever_listed_;
    std::map<std::string, absence> absent_vms_;
    object_store::version revision_ = 0;
    milliseconds gapless_listings_since_{0};
    std::optional<milliseconds> last_listing_time_;
};

} // namespace dotterelport::membership

#endif
