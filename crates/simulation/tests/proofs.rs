//! The promises, under generated schedules of operations and faults. Each
//! proof has its counterpart that shows that it can fail.

mod support;

use ploverlift_simulation::oracle::Promise;
use ploverlift_simulation::world::Mutations;
use support::*;

#[test]
fn caches_of_other_lives_weights_and_tenants_are_never_relied_on() {
    hold(cache_schedules());
}

#[test]
fn reliance_breaks_when_engines_take_requests_that_rely_on_another_life() {
    let mutations = Mutations {
        engines_ignore_expectations: true,
        ..Mutations::default()
    };
    must_break(Promise::CacheReliance, mutations, cache_schedules());
}

#[test]
fn streams_are_whole_and_in_order_and_the_callers_own() {
    hold(stream_schedules());
}

#[test]
fn streams_break_when_a_continuation_is_misnumbered() {
    let mutations = Mutations {
        engines_misnumber_pieces: true,
        ..Mutations::default()
    };
    must_break(Promise::WholeStreams, mutations, stream_schedules());
}

#[test]
fn own_answers_break_when_answers_are_crossed() {
    let mutations = Mutations {
        answers_crossed: true,
        ..Mutations::default()
    };
    must_break(Promise::OwnAnswer, mutations, stream_schedules());
}

#[test]
fn requests_that_may_not_be_repeated_run_at_most_once_and_not_run_is_true() {
    hold(once_schedules());
}

#[test]
fn at_most_once_breaks_when_restarted_replicas_vote_at_once() {
    let mutations = Mutations {
        nodes_reuse_lives: true,
        ..Mutations::default()
    };
    must_break(Promise::AtMostOnce, mutations, once_schedules());
}

#[test]
fn reliance_breaks_when_a_restarted_engine_looks_like_its_earlier_life() {
    let mutations = Mutations {
        engines_reuse_incarnations: true,
        engines_ignore_expectations: true,
        ..Mutations::default()
    };
    must_break(Promise::CacheReliance, mutations, cache_schedules());
}

#[test]
fn a_vote_that_its_replica_forgot_does_not_count() {
    hold(forgotten_vote_schedules());
}

#[test]
fn not_run_is_true_when_answers_are_lost() {
    hold(lost_answer_schedules());
}

#[test]
fn not_run_breaks_when_lost_attempts_count_as_unsent() {
    let mutations = Mutations {
        lost_attempts_look_unsent: true,
        ..Mutations::default()
    };
    must_break(Promise::NotRunIsTrue, mutations, lost_answer_schedules());
}

#[test]
fn leaving_engines_get_no_new_work() {
    hold(leaving_schedules());
}

#[test]
fn leaving_breaks_when_reports_on_engines_are_lost() {
    let mutations = Mutations {
        no_engine_reports: true,
        ..Mutations::default()
    };
    must_break(Promise::LeavingGetsNothing, mutations, leaving_schedules());
}

#[test]
fn configuration_is_in_force_everywhere_and_never_goes_back() {
    hold(configuration_schedules());
}

#[test]
fn configuration_breaks_when_stale_records_look_new() {
    let mutations = Mutations {
        stale_records_look_new: true,
        ..Mutations::default()
    };
    must_break(Promise::Configuration, mutations, configuration_schedules());
}

#[test]
fn late_orders_are_refused_and_loads_are_bounded() {
    hold(order_schedules());
}

#[test]
fn orders_of_a_paused_holder_are_refused() {
    hold(paused_holder_schedules());
}

#[test]
fn orders_break_when_engines_ignore_tokens() {
    let mutations = Mutations {
        engines_ignore_tokens: true,
        ..Mutations::default()
    };
    must_break(Promise::Orders, mutations, paused_holder_schedules());
}

#[test]
fn every_promise_holds_when_all_faults_come_together() {
    hold(mixed_schedules());
}
