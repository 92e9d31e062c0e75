#include "dotterelport/ctl/event_catalogue.hpp"

#include <algorithm>

#include "dotterelport/agent/events.hpp"
#include "dotterelport/budget/events.hpp"
#include "dotterelport/config/events.hpp"
#include "dotterelport/ctl/commands.hpp"
#include "dotterelport/gateway/events.hpp"
#include "dotterelport/membership/events.hpp"
#include "dotterelport/object_store/events.hpp"
#include "dotterelport/router/budget_events.hpp"
#include "dotterelport/router/events.hpp"

namespace dotterelport::ctl {

std::vector<log_event> event_catalogue()
{
    namespace agent = dotterelport::agent::events;
    namespace budget = dotterelport::budget::events;
    namespace gateway = dotterelport::gateway::events;
    namespace store = dotterelport::object_store::events;
    namespace router = dotterelport::router::events;
    std::vector<log_event> events = {
        config::event_in_force,
        config::event_manifest_unreadable,
        config::event_parts_unreadable,
        config::event_parts_delayed,
        config::event_not_confirmed,
        membership::event_registered,
        membership::event_registration_delayed,
        membership::event_incarnation_lost,
        membership::event_own_record_unreadable,
        membership::event_records_unreadable,
        membership::event_node_silent,
        membership::event_node_answering,
        membership::event_closing_started,
        membership::event_closing_finished,
        agent::request_refused,
        agent::request_ended,
        agent::malformed_admission,
        agent::holder_fenced,
        agent::agent_started,
        agent::agent_registered,
        agent::backend_unreachable,
        agent::backend_crashed,
        agent::backend_failed,
        agent::outcomes_not_taken,
        agent::agent_leaving,
        agent::agent_drained,
        agent::drain_timed_out,
        agent::order_refused,
        agent::cache_event_gap,
        agent::clients_limited,
        router::request_refused,
        router::attempt_failed,
        router::attempt_rejoined,
        router::frame_dropped,
        router::request_quarantined,
        router::booking_resumed,
        router::booking_unresolved,
        router::agent_leaving,
        router::ready,
        router::drain_started,
        router::drained,
        router::drain_timeout,
        router::clients_limited,
        router::session_opened,
        router::incarnation_replaced,
        router::owner_unreachable,
        router::tokens_lent,
        router::grants_recalled,
        router::agent_gone,
        router::closing_started,
        router::closing_finished,
        router::closing_delayed,
        router::audit_failed,
        router::message_rejected,
        router::reservation_released,
        router::object_unreadable,
        router::reservation_unclaimed,
        router::cancellation_lost,
        router::verdict_outdated,
        budget::invariant_violated,
        budget::charge_above_reservation,
        budget::unexpected_outcome,
        budget::prepaid_declared,
        budget::holder_closed,
        budget::line_voided,
        budget::tokens_unproved,
        budget::shard_too_large,
        budget::grant_missing,
        budget::ledger_recovered,
        budget::grant_restored,
        budget::budget_overdrawn,
        budget::tokens_withheld,
        budget::bills_written_again,
        gateway::started,
        gateway::ready,
        gateway::drain_started,
        gateway::drained,
        gateway::drain_timeout,
        gateway::settings_reloaded,
        gateway::settings_rejected,
        gateway::request_answered,
        gateway::request_refused,
        gateway::request_abandoned,
        gateway::request_cut,
        gateway::request_sent,
        gateway::attempt_ended,
        gateway::catalogue_in_force,
        gateway::catalogue_ignored,
        gateway::server_changed,
        gateway::server_removed,
        gateway::registration_outdated,
        gateway::quarantine_outdated,
        gateway::ledger_unavailable,
        gateway::ledger_read,
        gateway::settlement_lost,
        gateway::owner_silent,
        gateway::feed_role_changed,
        gateway::reservation_left_behind,
        gateway::settlement_unmatched,
        gateway::reservation_unclaimed,
        gateway::verdict_outdated,
        gateway::server_cold,
        gateway::domain_evacuated,
        gateway::evacuation_ended,
        gateway::second_send,
        gateway::second_send_answered,
        gateway::engines_full,
        gateway::admission_active,
        gateway::request_not_admitted,
        gateway::request_waits,
        gateway::clients_limited,
        gateway::relief_changed,
        gateway::relief_withheld,
        gateway::not_ready_for_load,
        gateway::ledger_step,
        gateway::ledger_copy_unreadable,
        gateway::server_examined,
        gateway::suspects_quarantined,
        gateway::quarantine_not_saved,
        gateway::quarantine_unreadable,
        gateway::suspects_cleared,
        gateway::server_limit_changed,
        gateway::server_leaving,
        gateway::server_wait_requested,
        gateway::server_statement_unreadable,
        gateway::suspects_tried,
        gateway::budgets_flushed,
        store::feed_lost,
        store::feed_regained,
        store::feed_history_gone,
        store::path_changed,
        store::relay_started,
        store::relay_stopped,
        store::object_ignored,
        store::item_closed,
        store::configuration_missing,
        store::era_changed,
        store::answer_of_earlier_era,
        store::feed_era_gone,
        store::relay_clients_limited,
    };
    std::sort(events.begin(), events.end(),
              [](const auto& left, const auto& right) { return left.number < right.number; });
    return events;
}

exit_status events(session& context)
{
    context.require_no_arguments();
    context.out() << "| Number | Level | Name | Meaning |\n|---|---|---|---|\n";
    for (const auto& event : event_catalogue()) {
        context.out() << "| " << event.number << " | " << to_string(event.level) << " | `"
                      << event.name << "` | " << event.meaning << " |\n";
    }
    return exit_status::success;
}

} // namespace dotterelport::ctl
