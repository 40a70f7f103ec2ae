//! Checks the promises under generated schedules of operations and faults. For
//! each promise a counterpart shows, by a mutation, that the check can fail.

mod support;

use ploverlift_simulation::oracle::Promise;
use ploverlift_simulation::world::Mutations;
use support::*;

#[test]
fn caches_of_other_lives_weights_and_tenants_are_never_relied_on() {
    assert_holds(cache_schedules());
}

#[test]
fn reliance_breaks_when_engines_take_requests_that_rely_on_another_life() {
    let mutations = Mutations {
        engines_ignore_expectations: true,
        ..Mutations::default()
    };
    assert_violated_by(Promise::CacheReliance, mutations, cache_schedules());
}

#[test]
fn streams_are_whole_and_in_order_and_the_callers_own() {
    assert_holds(stream_schedules());
}

#[test]
fn streams_break_when_a_continuation_is_misnumbered() {
    let mutations = Mutations {
        engines_misnumber_pieces: true,
        ..Mutations::default()
    };
    assert_violated_by(Promise::WholeStreams, mutations, stream_schedules());
}

#[test]
fn own_answers_break_when_answers_are_crossed() {
    let mutations = Mutations {
        answers_crossed: true,
        ..Mutations::default()
    };
    assert_violated_by(Promise::OwnAnswer, mutations, stream_schedules());
}

#[test]
fn requests_that_may_not_be_repeated_run_at_most_once_and_not_run_is_true() {
    assert_holds(once_schedules());
}

#[test]
fn at_most_once_breaks_when_restarted_replicas_vote_at_once() {
    let mutations = Mutations {
        nodes_reuse_lives: true,
        ..Mutations::default()
    };
    assert_violated_by(Promise::AtMostOnce, mutations, once_schedules());
}

#[test]
fn reliance_breaks_when_a_restarted_engine_looks_like_its_earlier_life() {
    let mutations = Mutations {
        engines_reuse_incarnations: true,
        engines_ignore_expectations: true,
        ..Mutations::default()
    };
    assert_violated_by(Promise::CacheReliance, mutations, cache_schedules());
}

#[test]
fn a_vote_lost_in_a_restart_does_not_count() {
    assert_holds(lost_vote_schedules());
}

#[test]
fn not_run_is_true_when_answers_are_lost() {
    assert_holds(lost_answer_schedules());
}

#[test]
fn not_run_breaks_when_lost_attempts_count_as_unsent() {
    let mutations = Mutations {
        lost_attempts_look_unsent: true,
        ..Mutations::default()
    };
    assert_violated_by(Promise::NotRunIsTrue, mutations, lost_answer_schedules());
}

#[test]
fn leaving_engines_get_no_new_work() {
    assert_holds(leaving_schedules());
}

#[test]
fn leaving_breaks_when_reports_on_engines_are_lost() {
    let mutations = Mutations {
        no_engine_reports: true,
        ..Mutations::default()
    };
    assert_violated_by(Promise::LeavingGetsNothing, mutations, leaving_schedules());
}

#[test]
fn configuration_is_in_force_everywhere_and_never_goes_back() {
    assert_holds(configuration_schedules());
}

#[test]
fn configuration_breaks_when_stale_records_look_new() {
    let mutations = Mutations {
        stale_records_look_new: true,
        ..Mutations::default()
    };
    assert_violated_by(Promise::Configuration, mutations, configuration_schedules());
}

#[test]
fn late_orders_are_refused_and_loads_are_bounded() {
    assert_holds(order_schedules());
}

#[test]
fn orders_of_a_paused_holder_are_refused() {
    assert_holds(paused_holder_schedules());
}

#[test]
fn orders_break_when_engines_ignore_tokens() {
    let mutations = Mutations {
        engines_ignore_tokens: true,
        ..Mutations::default()
    };
    assert_violated_by(Promise::Orders, mutations, paused_holder_schedules());
}

#[test]
fn every_promise_holds_under_all_faults_combined() {
    assert_holds(mixed_schedules());
}
