#include "dotterelport/gateway/crash_watch.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/gateway/events.hpp"

namespace dotterelport::gateway {
namespace {

using request::suspect;

constexpr const char* object_key = "quarantine/suspects";

/// Shard whose owner writes the quarantines, so that gateways do not compete for the object.
constexpr std::uint32_t writer_shard = 0;

/// Number of gateways that may write the record of an earlier era again.
constexpr std::size_t max_takeovers = 4;

/// Era of a store that has never come back from an older copy.
constexpr object_store::store_era first_era = 1;

constexpr milliseconds check_interval{250};

/// Datagrams may be lost.
constexpr int copies_of_news = 2;

/// Number of suspects in one message; keeps the datagram below the size at which links fragment
/// it.
constexpr std::size_t max_suspects_per_message = 100;

json to_json(const suspect& what)
{
    return json::array({static_cast<int>(what.kind), what.id});
}

suspect parse_suspect(const json& document)
{
    return {.kind = document.at(0).get<int>() == 0 ? request::suspect_kind::part
                                                   : request::suspect_kind::content,
            .id = document.at(1).get<std::uint64_t>()};
}

json to_json(std::span<const suspect> suspects)
{
    json result = json::array();
    for (const auto& what : suspects) {
        result.push_back(to_json(what));
    }
    return result;
}

std::vector<suspect> parse_suspects(const json& document)
{
    std::vector<suspect> result;
    std::transform(document.begin(), document.end(), std::back_inserter(result), parse_suspect);
    return result;
}

struct quarantine_record {
    std::vector<request::quarantine_entry> entries;
    object_store::store_era era = 0;
};

std::string encode(const quarantine_record& record, milliseconds steady_to_wall)
{
    json entries = json::array();
    for (const auto& entry : record.entries) {
        entries.push_back({to_json(entry.suspects), (entry.until + steady_to_wall).count()});
    }
    return json{{"quarantined", std::move(entries)}, {"era", record.era}}.dump();
}

/// @throws json::exception if the text does not have the form of a record
quarantine_record decode(const std::string& text, milliseconds steady_to_wall)
{
    const json document = json::parse(text);
    quarantine_record result;
    for (const auto& item : document.at("quarantined")) {
        result.entries.push_back(
            {.suspects = parse_suspects(item.at(0)),
             .until = milliseconds{item.at(1).get<std::int64_t>()} - steady_to_wall});
    }
    // Absent in records of gateways of an earlier version.
    result.era = document.value("era", object_store::store_era{0});
    return result;
}

milliseconds steady_to_wall()
{
    return wall_clock_now() - steady_now();
}

json names_of(std::span<const suspect> suspects)
{
    json result = json::array();
    for (const auto& what : suspects) {
        result.push_back(to_string(what));
    }
    return result;
}

} // namespace

json to_json(const crash_message& message, milliseconds now)
{
    json crashes = json::array();
    for (const auto& report : message.crashes) {
        crashes.push_back({report.server, to_json(report.suspects)});
    }
    json quarantined = json::array();
    for (const auto& entry : message.quarantined) {
        quarantined.push_back({to_json(entry.suspects), (entry.until - now).count()});
    }
    json trials = json::array();
    for (const auto& suspects : message.trials) {
        trials.push_back(to_json(suspects));
    }
    return json::array(
        {std::move(crashes), to_json(message.cleared), std::move(quarantined), std::move(trials)});
}

crash_message parse_crash_message(const json& document, milliseconds now)
{
    crash_message result;
    for (const auto& item : document.at(0)) {
        result.crashes.push_back(
            {.server = item.at(0).get<std::string>(), .suspects = parse_suspects(item.at(1))});
    }
    result.cleared = parse_suspects(document.at(1));
    for (const auto& item : document.at(2)) {
        result.quarantined.push_back({.suspects = parse_suspects(item.at(0)),
                                      .until = now + milliseconds{item.at(1).get<std::int64_t>()}});
    }
    // Absent in messages of gateways of an earlier version.
    constexpr std::size_t trials_index = 3;
    if (document.size() > trials_index) {
        const auto& trials = document.at(trials_index);
        std::transform(trials.begin(), trials.end(), std::back_inserter(result.trials),
                       parse_suspects);
    }
    return result;
}

crash_watch::crash_watch(net::event_loop& loop, peer_link& link,
                         object_store::conditional_objects& objects,
                         const crash_watch_settings& settings)
    : loop_(loop), link_(link), objects_(objects), settings_(settings),
      attribution_(settings.attribution,
                   [this](std::span<const suspect> suspects) { return trial_turn(suspects); }),
      checks_(loop, check_interval,
              [this] {
                  repeat_quarantines();
                  check_store();
              }),
      self_(std::make_shared<crash_watch*>(this))
{
    link_.on_message(peer_message_kind::crashes,
                     [this](const peer_message& message) { receive(message); });
    loop_.post([weak = std::weak_ptr<crash_watch*>(self_)] {
        if (const auto self = weak.lock()) {
            (*self)->check_store();
        }
    });
}

crash_watch::~crash_watch()
{
    loop_.cancel(send_timer_);
    loop_.cancel(cleared_timer_);
    loop_.cancel(evaluation_timer_);
    for (const auto& [server, item] : examinations_) {
        loop_.cancel(item.timer);
    }
}

void crash_watch::attempt_lost(const std::string& server, const net::endpoint& address,
                               std::span<const suspect> suspects)
{
    if (suspects.empty()) {
        return;
    }
    const auto [found, is_new] = examinations_.try_emplace(server);
    auto& item = found->second;
    item.suspects.insert(suspects.begin(), suspects.end());
    if (is_new) {
        item.address = address;
        item.timer = loop_.schedule(settings_.collect_time, [this, server] { probe(server); });
    }
}

void crash_watch::probe(const std::string& server)
{
    auto& item = examinations_.at(server);
    item.timer = 0;
    item.probe_started = steady_now();
    item.probe = std::make_unique<net::tcp_connector>(
        loop_, item.address, settings_.probe_timeout,
        [this, server](const std::unique_ptr<net::tcp_connection>& connection) {
            probed(server, connection != nullptr);
        });
}

void crash_watch::probed(const std::string& server, bool accepted)
{
    auto node = examinations_.extract(server);
    auto& item = node.mapped();
    // Destroyed in the next iteration of the loop, as its callback is running.
    loop_.post([probe = std::shared_ptr<net::tcp_connector>(std::move(item.probe))] {});
    const milliseconds duration = steady_now() - item.probe_started;
    const bool refused = !accepted && duration < settings_.probe_timeout;
    const crash_report report{.server = server,
                              .suspects = {item.suspects.begin(), item.suspects.end()}};
    log(events::server_examined, {{"server", server},
                                  {"crashed", refused},
                                  {"accepted", accepted},
                                  {"after_ms", duration.count()},
                                  {"suspects", names_of(report.suspects)}});
    if (!refused) {
        return;
    }
    record_crash(report);
    for (std::size_t i = 0; i < report.suspects.size(); i += max_suspects_per_message) {
        const auto begin = report.suspects.begin() + static_cast<std::ptrdiff_t>(i);
        const auto size = std::min(max_suspects_per_message, report.suspects.size() - i);
        news_.crashes.push_back(
            {.server = server, .suspects = {begin, begin + static_cast<std::ptrdiff_t>(size)}});
    }
    schedule_send();
}

void crash_watch::record_crash(const crash_report& report)
{
    if (attribution_.record_crash(report.server, report.suspects, steady_now())) {
        evaluate();
    } else if (evaluation_timer_ == 0) {
        evaluation_timer_ = loop_.schedule(settings_.evaluation_delay, [this] { evaluate(); });
    }
}

void crash_watch::evaluate()
{
    loop_.cancel(std::exchange(evaluation_timer_, 0));
    const auto begun = attribution_.evaluate(steady_now());
    if (begun.empty()) {
        return;
    }
    for (const auto& entry : begun) {
        log(events::suspects_quarantined,
            {{"suspects", names_of(entry.suspects)}, {"reported_by", link_.node()}});
    }
    news_.quarantined.insert(news_.quarantined.end(), begun.begin(), begun.end());
    schedule_send();
    check_store();
}

void crash_watch::sent(std::span<const suspect> suspects)
{
    const milliseconds now = steady_now();
    crash_message message;
    message.trials = attribution_.record_send(suspects, now);
    if (message.trials.empty()) {
        return;
    }
    for (const auto& trial : message.trials) {
        log(events::suspects_tried, {{"suspects", names_of(trial)}});
    }
    // Not collected with other news: the next gateway's turn comes soon.
    announce(message);
}

void crash_watch::announce(const crash_message& message)
{
    const json content = to_json(message, steady_now());
    for (int i = 0; i < copies_of_news; ++i) {
        link_.announce(peer_message_kind::crashes, content);
    }
}

request::trial_turn crash_watch::trial_turn(std::span<const suspect> suspects) const
{
    constexpr std::uint64_t rankings = 64;
    const auto ranking = static_cast<std::uint32_t>(suspects.front().id % rankings);
    return {.position = link_.position(ranking), .routers = link_.peer_count() + 1};
}

void crash_watch::answered(std::span<const suspect> suspects)
{
    const auto cleared = attribution_.record_answer(suspects, steady_now());
    if (!cleared.empty()) {
        log(events::suspects_cleared, {{"suspects", names_of(cleared)}});
    }
    cleared_.insert(cleared.begin(), cleared.end());
    if (!cleared_.empty() && cleared_timer_ == 0) {
        cleared_timer_ = loop_.schedule(settings_.cleared_batch_time, [this] { send_cleared(); });
    }
}

void crash_watch::send_cleared()
{
    cleared_timer_ = 0;
    const auto cleared = std::exchange(cleared_, {});
    link_.announce(peer_message_kind::crashes, to_json({.crashes = {},
                                                        .cleared = {cleared.begin(), cleared.end()},
                                                        .quarantined = {},
                                                        .trials = {}},
                                                       steady_now()));
}

std::optional<milliseconds> crash_watch::refused_for(std::span<const suspect> suspects) const
{
    return attribution_.refused_for(suspects, steady_now());
}

void crash_watch::receive(const peer_message& message)
{
    const milliseconds now = steady_now();
    const crash_message news = parse_crash_message(message.content, now);
    if (!news.cleared.empty()) {
        attribution_.record_answer(news.cleared, now);
        for (const auto& what : news.cleared) {
            cleared_.erase(what);
        }
    }
    for (const auto& report : news.crashes) {
        record_crash(report);
    }
    for (const auto& trial : news.trials) {
        attribution_.record_send(trial, now);
    }
    for (const auto& entry : news.quarantined) {
        if (attribution_.adopt(entry, now)) {
            log(events::suspects_quarantined,
                {{"suspects", names_of(entry.suspects)}, {"reported_by", message.node}});
        }
    }
}

void crash_watch::schedule_send()
{
    if (send_timer_ == 0) {
        send_timer_ = loop_.schedule(settings_.batch_time, [this] { send_news(); });
    }
}

void crash_watch::send_news()
{
    send_timer_ = 0;
    std::vector<crash_message> messages(1);
    std::size_t size = 0;
    for (auto& report : news_.crashes) {
        if (size > 0 && size + report.suspects.size() > max_suspects_per_message) {
            messages.emplace_back();
            size = 0;
        }
        size += report.suspects.size();
        messages.back().crashes.push_back(std::move(report));
    }
    messages.back().quarantined = std::move(news_.quarantined);
    news_ = {};
    for (const auto& message : messages) {
        announce(message);
    }
}

void crash_watch::repeat_quarantines()
{
    const milliseconds now = steady_now();
    const auto interval =
        settings_.repeat_interval * static_cast<int>(std::max<std::size_t>(link_.group_size(), 1));
    if (now - last_repeat_ < interval) {
        return;
    }
    last_repeat_ = now;
    const crash_message message{
        .crashes = {}, .cleared = {}, .quarantined = attribution_.remembered(now), .trials = {}};
    if (!message.quarantined.empty()) {
        link_.broadcast(peer_message_kind::crashes, to_json(message, now));
    }
}

crash_watch::stored_quarantines crash_watch::remembered_suspects() const
{
    stored_quarantines result;
    for (const auto& entry : attribution_.remembered(steady_now())) {
        result.insert(entry.suspects);
    }
    return result;
}

bool crash_watch::is_writer() const
{
    if (link_.owner(writer_shard) == link_.node()) {
        return true;
    }
    // The usual writer may have just started and know nothing but the restored record.
    const bool is_outdated = !stored_ || stored_->era < era_;
    const std::size_t position = link_.position(writer_shard);
    return is_outdated && is_informed_ && position < max_takeovers &&
           steady_now() >= era_began_ + settings_.takeover_pause * static_cast<int>(position);
}

void crash_watch::check_store()
{
    if (store_busy_ || steady_now() < next_store_call_) {
        return;
    }
    if (!is_informed_) {
        load();
        return;
    }
    if (!is_writer()) {
        return;
    }
    if (!stored_) {
        load();
        return;
    }
    stored_record next{.suspects = remembered_suspects(), .version = stored_->version, .era = era_};
    if (next.suspects == stored_->suspects && stored_->era >= era_) {
        return;
    }
    store_busy_ = true;
    objects_.write(
        object_key,
        encode({.entries = attribution_.remembered(steady_now()), .era = era_}, steady_to_wall()),
        stored_->version,
        [weak = std::weak_ptr<crash_watch*>(self_),
         next](const object_store::write_result& result) {
            if (const auto self = weak.lock()) {
                (*self)->saved(next, result);
            }
        });
}

void crash_watch::saved(const stored_record& written, const object_store::write_result& result)
{
    store_busy_ = false;
    observe_era(result.era);
    // What was acknowledged in an earlier era may be gone.
    if (result.status == object_store::write_status::applied && written.era == era_) {
        stored_ = written;
        stored_->version = result.object_version;
        return;
    }
    // Another gateway has written, or the result is unknown: read before the next write.
    log(events::quarantine_not_saved,
        {{"quarantines", written.suspects.size()}, {"era", written.era}, {"newest_era", era_}});
    stored_.reset();
    next_store_call_ = steady_now() + settings_.store_retry;
}

void crash_watch::load()
{
    store_busy_ = true;
    objects_.read(object_key, [weak = std::weak_ptr<crash_watch*>(self_)](
                                  const object_store::read_result& found) {
        if (const auto self = weak.lock()) {
            (*self)->loaded(found);
        }
    });
}

void crash_watch::loaded(const object_store::read_result& found)
{
    store_busy_ = false;
    next_store_call_ = steady_now() + settings_.store_retry;
    observe_era(found.era);
    if (found.status == object_store::read_status::unavailable || found.era < era_) {
        return;
    }
    const bool is_absent = found.status == object_store::read_status::absent;
    quarantine_record record{.entries = {}, .era = era_};
    if (!is_absent) {
        try {
            record = decode(found.value.value, steady_to_wall());
        } catch (const json::exception& failure) {
            // The next quarantine replaces the object.
            log(events::quarantine_unreadable, {{"error", failure.what()}});
        }
    }
    const bool may_miss = is_absent ? era_ > first_era : record.era < era_;
    if (!is_informed_ && may_miss && awaits_rewrite()) {
        return;
    }
    next_store_call_ = milliseconds{0};
    stored_ =
        stored_record{.suspects = {}, .version = found.value.object_version, .era = record.era};
    for (const auto& entry : record.entries) {
        stored_->suspects.insert(entry.suspects);
    }
    if (!is_informed_ || record.era >= era_) {
        adopt(record.entries);
    }
    is_informed_ = true;
}

bool crash_watch::awaits_rewrite()
{
    const milliseconds now = steady_now();
    if (!outdated_until_) {
        outdated_until_ = now + settings_.outdated_wait;
        log(events::quarantine_outdated, {{"era", era_}});
    }
    return now < *outdated_until_;
}

void crash_watch::adopt(const std::vector<request::quarantine_entry>& entries)
{
    for (const auto& entry : entries) {
        if (attribution_.adopt(entry, steady_now())) {
            log(events::suspects_quarantined,
                {{"suspects", names_of(entry.suspects)}, {"reported_by", "store"}});
        }
    }
}

void crash_watch::observe_era(object_store::store_era era)
{
    if (era <= era_) {
        return;
    }
    era_ = era;
    era_began_ = steady_now();
    stored_.reset();
    outdated_until_.reset();
    next_store_call_ = milliseconds{0};
}

json crash_watch::dump() const
{
    const milliseconds now = steady_now();
    json quarantined = json::object();
    json awaiting_trial = json::array();
    for (const auto& entry : attribution_.remembered(now)) {
        if (now < entry.until) {
            quarantined[names_of(entry.suspects).dump()] = (entry.until - now).count();
        } else {
            awaiting_trial.push_back(names_of(entry.suspects));
        }
    }
    return {{"quarantined_ms", std::move(quarantined)},
            {"awaiting_trial", std::move(awaiting_trial)},
            {"is_stored", stored_ && stored_->suspects == remembered_suspects()},
            {"era", era_}};
}

} // namespace dotterelport::gateway
