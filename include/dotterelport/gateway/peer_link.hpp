#ifndef DOTTERELPORT_GATEWAY_PEER_LINK_HPP
#define DOTTERELPORT_GATEWAY_PEER_LINK_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelport/base/json.hpp"
#include "dotterelport/gateway/owner_ranking.hpp"
#include "dotterelport/net/datagram_socket.hpp"
#include "dotterelport/net/event_loop.hpp"

namespace dotterelport::gateway {

/// Kind of a message between gateways.
enum class peer_message_kind {
    /// Reports at which servers the sender's requests are.
    load,
    /// Requests tokens of a workspace.
    reserve,
    /// Answers a reserve message.
    reserved,
    /// Reports the usage of a reservation.
    settle,
    /// Confirms a settle message.
    settled,
    /// The sender is stopping: it owns no shard from now on, but still confirms settlements.
    leaving,
    /// Confirms up to which revision of the store the sender knows objects.
    feed_state,
    /// Passes on changes of objects in the store.
    feed_changes,
    /// Reports crashes of backend servers and what is quarantined because of them.
    crashes,
    /// Passes on what a backend server states about itself.
    server_statement,
    /// Passes on a ledger shard as the sender last knew it.
    ledger_copy,
    /// The sender has reached the store again after an outage.
    store_returned,
};

/// A message between gateways.
struct peer_message {
    peer_message_kind kind = peer_message_kind::load;
    /// Name of the gateway that sent it.
    std::string node;
    /// Increases with each message of one run of the node.
    std::uint64_t sequence = 0;
    json content;
};

/// @brief Encodes a message as MessagePack.
std::string encode(const peer_message& message);

/// @return nothing if the bytes are not a message
std::optional<peer_message> decode_peer_message(std::string_view bytes);

/// A gateway as the others know it.
struct peer_description {
    std::string node;
    /// Address at which it receives datagrams.
    net::endpoint address;
    std::string failure_domain;
    /// Share of the ledger shards that it should own, relative to other gateways.
    double weight = 1.0;
};

/// @brief Form in which a gateway registers itself; the object's name is the node.
json to_json(const peer_description& value);

/// @throws format_error or json::exception if the document does not have the required form
peer_description parse_peer_description(const std::string& node, const json& document);

struct peer_link_settings {
    /// Maximum number of gateways with which messages are exchanged regularly.
    std::size_t max_group_size = 32;
    /// A gateway of the group from which nothing was received for this long is considered
    /// unreachable.
    milliseconds silent_after{700};
    /// Time for which a gateway that announced its stop owns nothing; longer than a stop takes.
    milliseconds leaving_time{10'000};
    /// Time without a message for which a gateway still counts as one that may get the copies of a
    /// ledger. Its successor gets them every 3 s, and one of them may be lost.
    milliseconds absent_after{7'000};
    /// Time for which a gateway that was heard counts as part of the fleet. A gateway that hears
    /// fewer than half of them is more likely cut off than left alone. Longer than usual
    /// disconnections, and short enough to forget gateways that were removed.
    milliseconds contact_memory{60'000};
    /// Time for which a gateway that did not answer is considered unreachable; doubled after each
    /// further failure up to max_suspicion.
    milliseconds first_suspicion{1'000};
    milliseconds max_suspicion{8'000};
    /// Number of gateways that are considered as owner of a shard in a fleet of several groups. If
    /// all of them are unavailable, the network is more likely to be at fault, and asking further
    /// ones would only delay requests.
    std::size_t max_owner_candidates = 4;
};

/// Exchanges datagrams between gateways and tracks which gateways are reachable. Datagrams may be
/// lost. Regular messages go to the gateways of the own group; a gateway outside of it counts as
/// reachable until it does not answer.
class peer_link {
public:
    using handler = std::function<void(const peer_message& message)>;

    /// @throws error if the address cannot be bound
    peer_link(net::event_loop& loop, const peer_description& self,
              const peer_link_settings& settings = {});

    /// @brief Sets the handler for messages of a kind.
    void on_message(peer_message_kind kind, handler handle);

    /// @brief Adds another gateway or changes its description.
    void set_peer(const peer_description& description);

    void send(const std::string& node, peer_message_kind kind, json content);
    /// @brief Sends a message to the gateways of the group.
    void broadcast(peer_message_kind kind, const json& content);
    /// @brief Sends a message to all gateways of the fleet. For rare news only.
    void announce(peer_message_kind kind, const json& content);

    /// @brief Announces to the other gateways that this one is stopping; load messages are not sent
    /// any more.
    void leave();
    [[nodiscard]] bool is_leaving() const { return leaving_; }

    /// @brief Other gateways of the group from which a message was received recently and that are
    /// not stopping.
    [[nodiscard]] std::vector<std::string> live_peers() const;
    [[nodiscard]] bool is_live(const std::string& node) const;

    /// @brief Gateway that currently owns a shard of the ledger; this one if no other is available.
    [[nodiscard]] std::string owner(std::uint32_t shard) const;

    /// @brief Gateways that would own a shard, one after the other, if this one did not exist.
    [[nodiscard]] std::vector<std::string> standbys(std::uint32_t shard, std::size_t count) const;

    /// @brief Returns whether this gateway owns a shard or is one of the owner's standbys, and has
    /// been for longer than the interval at which copies are sent.
    [[nodiscard]] bool is_owner_or_standby(std::uint32_t shard, std::size_t standby_count) const;

    /// @brief Returns whether this gateway hears at least half of the gateways of its group that it
    /// heard within the last minute and that are not stopping.
    [[nodiscard]] bool hears_most() const;

    /// @brief Place of this gateway in the ranking of a shard among all gateways, reachable or not;
    /// 0 for the first. Gateways that know the same fleet have different places.
    [[nodiscard]] std::size_t position(std::uint32_t shard) const
    {
        return ranking_.position(self_.node, shard);
    }

    /// @brief Records that a gateway did not answer in time.
    void mark_silent(const std::string& node);

    /// @brief Names of all gateways of the fleet, reachable or not, including this one.
    [[nodiscard]] std::vector<std::string> nodes() const;

    /// @brief Number of other gateways in the fleet.
    [[nodiscard]] std::size_t peer_count() const { return peers_.size(); }
    /// @brief Number of other gateways in the group.
    [[nodiscard]] std::size_t group_size() const { return group().size(); }
    /// @brief Returns whether another registered gateway of the fleet has a larger weight.
    [[nodiscard]] bool has_larger_peer() const;
    [[nodiscard]] const std::string& node() const { return self_.node; }
    [[nodiscard]] const net::endpoint& own_address() const { return socket_.address(); }
    [[nodiscard]] json dump() const;

private:
    struct peer {
        peer_description description;
        std::optional<milliseconds> last_received;
        /// Consecutive times that it did not answer.
        int silences = 0;
        milliseconds suspected_until{0};
        /// Set by a leaving message and cleared by the first load message of the node's next run,
        /// which only gateways of the same group receive.
        milliseconds leaving_until{0};
    };

    void receive(std::string_view datagram);
    [[nodiscard]] const std::set<std::string>& group() const;
    [[nodiscard]] bool is_available(const std::string& node) const;
    /// @brief Returns whether a gateway that is not stopping was heard recently enough to have got
    /// the last copies of a ledger.
    [[nodiscard]] bool is_briefly_absent(const std::string& node) const;
    /// @brief Number of gateways that are considered as owner of a shard.
    [[nodiscard]] std::size_t owner_candidates() const;

    peer_description self_;
    peer_link_settings settings_;
    net::datagram_socket socket_;
    std::map<std::string, peer> peers_;
    owner_ranking ranking_;
    /// Computed when it is needed after a change of the fleet.
    mutable std::optional<std::set<std::string>> group_;
    std::map<peer_message_kind, handler> handlers_;
    std::uint64_t sequence_;
    std::uint64_t rejected_ = 0;
    bool leaving_ = false;
};

} // namespace dotterelport::gateway

#endif
