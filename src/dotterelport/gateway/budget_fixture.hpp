#ifndef DOTTERELPORT_GATEWAY_BUDGET_FIXTURE_HPP
#define DOTTERELPORT_GATEWAY_BUDGET_FIXTURE_HPP

#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "dotterelport/gateway/budget_broker.hpp"
#include "dotterelport/object_store/store.hpp"

namespace dotterelport::gateway::test {

/// Object store in memory that answers through the loop, and can be made unreachable or lose
/// answers.
struct fake_objects final : object_store::conditional_objects {
    net::event_loop& loop;
    object_store::store& store;
    const object_store::store_era& era;
    bool reachable = true;
    milliseconds delay{0};
    /// Share of writes that take effect late, after an answer with an unknown result.
    double late_share = 0;
    std::mt19937_64 random{5};
    int writes = 0;
    int reads = 0;
    /// Keys of the writes in their order.
    std::vector<std::string> written;

    fake_objects(net::event_loop& event_loop, object_store::store& objects,
                 const object_store::store_era& store_era)
        : loop(event_loop), store(objects), era(store_era)
    {}

    void read(const std::string& key,
              std::function<void(const object_store::read_result&)> done) override
    {
        ++reads;
        loop.schedule(delay, [this, key, done] {
            auto result = reachable ? store.read(key) : object_store::read_result{};
            result.era = era;
            done(result);
        });
    }

    void write(const std::string& key, const std::string& value,
               std::optional<object_store::version> if_version,
               std::function<void(const object_store::write_result&)> done) override
    {
        ++writes;
        written.push_back(key);
        loop.schedule(delay, [this, key, value, if_version, done] {
            if (!reachable) {
                done({});
                return;
            }
            if (std::uniform_real_distribution<double>(0, 1)(random) < late_share) {
                loop.schedule(milliseconds{30}, [this, key, value, if_version] {
                    store.write(key, value, if_version);
                });
                done({.status = object_store::write_status::unknown, .era = era});
                return;
            }
            auto result = store.write(key, value, if_version);
            result.era = era;
            done(result);
        });
    }
};

inline service_catalogue with_prepaid(std::uint64_t version, tokens prepaid)
{
    service_catalogue::builder builder(version);
    builder.add(workspace{.name = "w", .keys = {"k"}, .priority = {}, .prepaid = prepaid});
    return builder.build();
}

/// A gateway's budgets.
struct node {
    fake_objects objects;
    peer_link link;
    budget_keeper keeper;
    budget_broker broker;

    node(net::event_loop& loop, object_store::store& store, const object_store::store_era& era,
         const std::string& name, const peer_link_settings& settings, std::uint64_t epoch)
        : objects(loop, store, era),
          link(loop, {.node = name, .address = {"127.0.0.1", 0}, .failure_domain = "a"}, settings),
          keeper(loop, objects, {.node = name, .epoch = epoch}),
          broker(loop, link, keeper, {.flushes_on_return = true})
    {}
};

inline peer_description description_of(const node& item)
{
    return {.node = item.link.node(), .address = item.link.own_address(), .failure_domain = "a"};
}

struct budget_fixture {
    net::event_loop loop;
    object_store::store store;
    object_store::store_era era = 0;
    std::uint64_t last_epoch = 0;
    std::vector<std::unique_ptr<node>> nodes;
    std::map<reservation_outcome, int> outcomes;

    void add_nodes(int count, tokens prepaid, const peer_link_settings& settings = {})
    {
        for (int i = 0; i < count; ++i) {
            nodes.push_back(std::make_unique<node>(loop, store, era, "node-" + std::to_string(i),
                                                   settings, ++last_epoch));
            nodes.back()->keeper.declare(with_prepaid(1, prepaid));
        }
    }

    /// Lets the nodes exchange addresses and a first message.
    void connect()
    {
        for (auto& from : nodes) {
            for (auto& to : nodes) {
                from->link.set_peer(description_of(*to));
            }
        }
        for (auto& from : nodes) {
            from->link.broadcast(peer_message_kind::load, json::array());
        }
        loop.run_for(milliseconds{20});
    }

    reservation_outcome reserve(node& from, tokens upper_tokens, std::uint64_t* number = nullptr)
    {
        std::optional<reservation_outcome> result;
        const auto id = from.broker.reserve("w", upper_tokens, [&](reservation_outcome outcome) {
            result = outcome;
            loop.stop();
        });
        if (!result) {
            loop.run_for(milliseconds{1'000});
        }
        REQUIRE(result);
        ++outcomes[*result];
        if (number != nullptr) {
            *number = id;
        }
        return *result;
    }
};

} // namespace dotterelport::gateway::test

#endif
