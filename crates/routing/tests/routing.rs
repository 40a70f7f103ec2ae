//! Tests of routes, splits, tenants, prompts, freshness, distances and software rules.

use ploverlift_policy::ids::{Millis, TenantName, ZoneName};
use ploverlift_routing::configuration::{Delivery, Route, ServiceName, Tenant, WeightedTarget};
use ploverlift_routing::freshness::Freshness;
use ploverlift_routing::prompt::{cache_salt, Prompt, PromptPart};
use ploverlift_routing::software::{SoftwareRule, SoftwareVersion};
use ploverlift_routing::split::WeightedSplitter;
use ploverlift_routing::table::RouteTable;
use ploverlift_routing::tenants::TenantDirectory;
use ploverlift_routing::topology::{Distance, RegionName, Topology};
use proptest::prelude::*;

fn route(name: &str, host: &str, path_prefix: &str, targets: &[(&str, f64)]) -> Route {
    let targets = targets.iter().map(|(service, weight)| WeightedTarget {
        service: ServiceName::from(*service),
        weight: *weight,
    });
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        targets: targets.collect(),
        delivery: Delivery::Repeatable,
        timeout_ms: 1_000,
        objective_ms: 100,
        max_attempts: 2,
        priority: 1,
        is_public: false,
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = RouteTable::new(&[
        route("short", "a.example", "/x/", &[("s", 1.0)]),
        route("long", "a.example", "/x/y/", &[("s", 1.0)]),
        route("other", "b.example", "/x/", &[("s", 1.0)]),
    ]);
    let name = |host, path| table.find(host, path).map(|route| route.name.clone());
    assert_eq!(name("a.example", "/x/y/z"), Some("long".to_owned()));
    assert_eq!(name("A.Example:80", "/x/z"), Some("short".to_owned()));
    assert_eq!(name("b.example", "/x/y/z"), Some("other".to_owned()));
    assert_eq!(name("a.example", "/xy/"), None);
    assert_eq!(name("c.example", "/x/"), None);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, ..ProptestConfig::default() })]

    /// After any number of requests each target's count is close to its share: it differs by
    /// no more than the number of targets.
    #[test]
    fn a_split_keeps_its_shares_at_all_times(
        weights in prop::collection::vec(1u32..100, 2..5),
        requests in 1usize..400,
        start in 0.0f64..1.0,
    ) {
        let names: Vec<String> = (0..weights.len()).map(|index| format!("s{index}")).collect();
        let pairs: Vec<(&str, f64)> = names
            .iter()
            .zip(&weights)
            .map(|(name, weight)| (name.as_str(), f64::from(*weight)))
            .collect();
        let split = route("r", "h", "/", &pairs);
        let total: f64 = weights.iter().map(|weight| f64::from(*weight)).sum();
        let mut splitter = WeightedSplitter::default();
        let mut counts = vec![0usize; weights.len()];
        for _ in 0..requests {
            let chosen = splitter.next(&split, start).expect("a target").clone();
            let index = names.iter().position(|name| *name == chosen.0).expect("known");
            counts[index] += 1;
        }
        for (count, weight) in counts.iter().zip(&weights) {
            let share = requests as f64 * f64::from(*weight) / total;
            prop_assert!((*count as f64 - share).abs() <= weights.len() as f64);
        }
    }

    /// Cache of one weights version, model or scope is never found under another.
    #[test]
    fn salts_of_different_weights_models_or_scopes_differ(
        a in (0u64..5, "[a-z]{1,3}", "[a-z]{0,3}"),
        b in (0u64..5, "[a-z]{1,3}", "[a-z]{0,3}"),
    ) {
        let salt = |(weights, model, scope): &(u64, String, String)| cache_salt(model, *weights, scope);
        prop_assert_eq!(a == b, salt(&a) == salt(&b));
    }
}

fn tenant(name: &str, is_isolated: bool) -> Tenant {
    Tenant {
        name: TenantName::from(name),
        keys: vec![format!("k{name}")],
        priority: Some(2),
        is_isolated,
        rate_limit: None,
    }
}

#[test]
fn a_key_finds_its_tenant_and_an_isolated_tenant_has_its_own_scope() {
    let directory = TenantDirectory::new(&[tenant("a", false), tenant("b", true)]);
    let shared = directory.find("ka").expect("a");
    let isolated = directory.find("kb").expect("b");
    assert_eq!(
        directory.cache_scope(Some(shared)),
        directory.cache_scope(None)
    );
    assert_eq!(directory.cache_scope(Some(isolated)), "b");
    assert!(directory.find("kc").is_none());
    assert!(directory.find("").is_none());
}

proptest! {
    // Guards against cache that a tenant made before it was isolated being used by others.
    #[test]
    fn cache_is_never_shared_with_a_tenant_that_is_isolated_when_it_is_used(
        configurations in prop::collection::vec(
            prop::collection::vec((0usize..5, any::<bool>()), 0..6), 1..12),
    ) {
        let names = ["a", "b", "c", "d", "e"];
        // The scope and maker of each part that engines keep; `None` for requests without a key.
        let mut kept: Vec<(String, Option<&str>)> = Vec::new();
        for listed in configurations {
            let mut tenants: Vec<Tenant> = Vec::new();
            for (index, is_isolated) in listed {
                if tenants.iter().all(|known| known.name.as_str() != names[index]) {
                    tenants.push(tenant(names[index], is_isolated));
                }
            }
            let directory = TenantDirectory::new(&tenants);
            let is_isolated = |name: Option<&str>| {
                let mut tenants = tenants.iter();
                tenants.any(|tenant| tenant.is_isolated && Some(tenant.name.as_str()) == name)
            };
            let users = tenants.iter().map(|tenant| Some(tenant.name.as_str()));
            for user in users.chain([None]) {
                let terms = user.and_then(|name| directory.find(&format!("k{name}")));
                let scope = directory.cache_scope(terms.map(|terms| &**terms)).to_owned();
                for (_, maker) in kept.iter().filter(|(made_under, _)| *made_under == scope) {
                    let is_shared = user != *maker && (is_isolated(user) || is_isolated(*maker));
                    prop_assert!(!is_shared, "{user:?} uses cache of {maker:?}");
                }
                let maker = names.iter().find(|name| Some(**name) == user).copied();
                kept.push((scope, maker));
            }
        }
    }
}

// Guards against nodes of one configuration not sharing, and against cache lost without need.
#[test]
fn the_common_scope_changes_only_with_the_set_of_isolated_tenants() {
    let scope_of = |tenants: &[(&str, bool)]| {
        let tenants = tenants.iter();
        let tenants: Vec<Tenant> = tenants.map(|(name, own)| tenant(name, *own)).collect();
        TenantDirectory::new(&tenants).cache_scope(None).to_owned()
    };
    let none = scope_of(&[("a", false), ("b", false)]);
    assert_eq!(none, "", "caches outlive an update of the software");
    assert_eq!(scope_of(&[("b", false), ("c", false)]), none);
    let two = scope_of(&[("a", true), ("b", true), ("c", false)]);
    assert_eq!(scope_of(&[("d", false), ("b", true), ("a", true)]), two);
    let others = [
        none,
        scope_of(&[("a", true), ("b", false)]),
        scope_of(&[("ab", true)]),
        scope_of(&[("a", true), ("b", true), ("c", true)]),
    ];
    for (index, scope) in others.iter().enumerate() {
        assert_ne!(*scope, two);
        assert!(!others[..index].contains(scope));
    }
}

fn prompt(ids: &[u64]) -> Prompt {
    let parts = ids.iter().map(|id| PromptPart {
        id: *id,
        tokens: 10,
    });
    Prompt {
        model: "m".to_owned(),
        parts: parts.collect(),
        max_output_tokens: 1,
    }
}

#[test]
fn the_last_part_of_a_prompt_is_not_shared() {
    assert_eq!(
        prompt(&[1, 2, 3]).shared_key(""),
        prompt(&[1, 2, 4]).shared_key("")
    );
    assert_ne!(
        prompt(&[1, 2, 3]).shared_key(""),
        prompt(&[2, 1, 3]).shared_key("")
    );
    assert_ne!(
        prompt(&[1, 2, 3]).shared_key(""),
        prompt(&[1, 2, 3]).shared_key("t")
    );
    assert_eq!(prompt(&[1, 2, 3]).shared_tokens(), 20);
    assert_ne!(prompt(&[1]).shared_key(""), prompt(&[2]).shared_key(""));
}

#[test]
fn freshness_counts_from_the_newest_proof() {
    let mut freshness = Freshness::default();
    assert!(!freshness.allows_keys(Millis(1_000), 500));
    freshness.prove(Millis(1_000));
    freshness.prove(Millis(900));
    assert_eq!(freshness.age_ms(Millis(1_400)), Some(400));
    assert!(freshness.allows_keys(Millis(1_500), 500));
    assert!(!freshness.allows_keys(Millis(1_501), 500));
}

#[test]
fn the_first_requests_of_many_nodes_are_split_by_weight() {
    // 81 nodes with four requests each: no single node sends enough requests for the target
    // with the small weight to receive its share.
    let split = route("r", "h", "/", &[("old", 9.0), ("new", 1.0)]);
    let (nodes, requests) = (81, 4);
    let mut counts = [0.0; 2];
    for node in 0..nodes {
        let start = f64::from(node) / f64::from(nodes);
        let mut splitter = WeightedSplitter::default();
        for _ in 0..requests {
            let is_new = splitter.next(&split, start).expect("a target").0 == "new";
            counts[usize::from(is_new)] += 1.0;
        }
    }
    let share = counts[1] / f64::from(nodes * requests);
    assert!((share - 0.1).abs() < 0.02, "{share} in place of 0.1");
}

/// The services of the next requests of a route.
fn next_services(splitter: &mut WeightedSplitter, split: &Route, requests: usize) -> Vec<String> {
    let next = (0..requests).filter_map(|_| splitter.next(split, 0.3));
    next.map(|service| service.0.clone()).collect()
}

proptest! {
    // Guards against a split that goes on by its former weights, in units of another scale.
    #[test]
    fn a_split_follows_new_weights_at_once(
        before in prop::collection::vec(0u32..1_000, 2..5),
        after in prop::collection::vec(0u32..4, 2..5),
        requests in 0usize..200,
        start in 0.0f64..1.0,
    ) {
        let names = ["a", "b", "c", "d"];
        let split_by = |weights: &[u32]| {
            let targets = names.iter().zip(weights);
            let targets: Vec<(&str, f64)> =
                targets.map(|(name, weight)| (*name, f64::from(*weight))).collect();
            route("r", "h", "/", &targets)
        };
        let mut splitter = WeightedSplitter::default();
        for _ in 0..requests {
            splitter.next(&split_by(&before), start);
        }
        let total: u32 = after.iter().sum();
        let requests = 60;
        let chosen = next_services(&mut splitter, &split_by(&after), requests);
        prop_assert_eq!(chosen.len(), if total == 0 { 0 } else { requests });
        for (name, weight) in names.iter().zip(&after) {
            let count = chosen.iter().filter(|chosen| chosen == name).count();
            prop_assert!(*weight > 0 || count == 0, "{name} has the weight 0 and got {count}");
            let share = requests as f64 * f64::from(*weight) / f64::from(total.max(1));
            prop_assert!((count as f64 - share).abs() <= after.len() as f64, "{name} {count}");
        }
    }
}

// Guards against a service without a share getting requests.
#[test]
fn a_target_without_a_positive_finite_weight_is_never_chosen() {
    for none in [0.0, -0.0, -3.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        for targets in [
            vec![("none", none), ("some", 2.0)],
            vec![("some", 2.0), ("none", none)],
            vec![("none", none), ("some", 1.0), ("none", none)],
        ] {
            let split = route("r", "h", "/", &targets);
            let chosen = next_services(&mut WeightedSplitter::default(), &split, 20);
            assert_eq!(chosen, vec!["some"; 20], "{none}");
        }
        let split = route("r", "h", "/", &[("none", none), ("none", none)]);
        assert_eq!(
            WeightedSplitter::default().next(&split, 0.3),
            None,
            "{none}"
        );
        // An only target has all requests, whatever its weight.
        let only = route("r", "h", "/", &[("only", none)]);
        let chosen = next_services(&mut WeightedSplitter::default(), &only, 2);
        assert_eq!(chosen, ["only"; 2], "{none}");
    }
}

#[test]
fn distance_is_by_zone_then_by_region_and_unknown_regions_are_near() {
    let zone = |name: &str| ZoneName(name.to_owned());
    let region = |name: &str| RegionName(name.to_owned());
    let known = [("a1", "a"), ("a2", "a"), ("b1", "b")];
    let known = known.map(|(of, in_region)| (zone(of), region(in_region)));
    let topology = Topology::new(known.into());
    let distance = |from, to| topology.distance(&zone(from), &zone(to));
    assert_eq!(distance("a1", "a1"), Distance::SameZone);
    assert_eq!(distance("a1", "a2"), Distance::SameRegion);
    assert_eq!(distance("a1", "b1"), Distance::OtherRegion);
    assert_eq!(distance("a1", "unknown"), Distance::SameRegion);
    assert_eq!(distance("unknown", "unknown"), Distance::SameZone);
}

#[test]
fn a_software_rule_names_the_versions_that_may_serve() {
    let version = |name: &str| SoftwareVersion(name.to_owned());
    assert!(SoftwareRule::Any.allows(&version("v1")));
    assert!(SoftwareRule::Only(version("v2")).allows(&version("v2")));
    assert!(!SoftwareRule::Only(version("v2")).allows(&version("v1")));
    assert!(SoftwareRule::Except(version("v2")).allows(&version("v1")));
    assert!(!SoftwareRule::Except(version("v2")).allows(&version("v2")));
}
