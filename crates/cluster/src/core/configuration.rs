//! Configuration: whether this node reads the object API, and how records are
//! applied.

use super::*;

impl NodeCore {
    /// Whether this node should read the object API now.
    pub fn is_reader(&self, now: Millis) -> bool {
        readers::is_reader(&self.members, now)
    }

    /// Applies records from the object API or an operator.
    pub fn apply_records(&mut self, records: Vec<Record>, now: Millis) {
        let (members, outbox) = (&self.members, &mut self.outbox);
        self.config
            .apply_records(records, members, now, &mut self.random, outbox);
        self.apply_config_changes(now);
    }

    /// Applies a complete list of one kind from the object API.
    pub fn apply_list(
        &mut self,
        kind: Kind,
        objects: Vec<Object>,
        version: ResourceVersion,
        now: Millis,
    ) {
        let (members, outbox) = (&self.members, &mut self.outbox);
        self.config.apply_list(
            kind,
            objects,
            version,
            members,
            now,
            &mut self.random,
            outbox,
        );
        if kind == Kind::ClaimGroup {
            self.claim_group_observed = true;
        }
        self.apply_config_changes(now);
    }

    /// Compares configuration often just after a start: the node must serve at
    /// once, and otherwise only the next probe would reveal a lost push.
    pub(super) fn compare_after_start(&mut self, now: Millis) {
        if now.0 >= START_UP_MS || now < self.next_start_comparison {
            return;
        }
        self.next_start_comparison = now.plus(START_COMPARISON_PERIOD_MS);
        let (members, outbox) = (&self.members, &mut self.outbox);
        self.config
            .compare_with_random_member(members, &mut self.random, outbox);
    }

    pub(super) fn plan_claim_group(&mut self, now: Millis) {
        if now < self.next_group_plan {
            return;
        }
        self.next_group_plan = now.plus(GROUP_PLAN_PERIOD_MS);
        if !self.claim_group_observed || !claim_group_plan::is_group_planner(&self.members) {
            return;
        }
        let stored = self.config.store.get(Kind::ClaimGroup, CLAIM_GROUP);
        let version = stored.map_or(ResourceVersion(0), |object| {
            object.metadata.resource_version
        });
        let present = stored.and_then(|object| object.typed::<ClaimGroupSpec>().ok());
        let item = crate::config_store::key_hash(&ploverlift_policy::objects::ObjectKey {
            kind: Kind::ClaimGroup,
            name: CLAIM_GROUP.to_owned(),
        });
        // Each generation was stored as an object version, so the next version
        // is higher than any earlier generation.
        let first_generation = self.config.store.highest().0 + 1;
        let members = &self.members;
        let plan = claim_group_plan::plan(present.as_ref(), members, item.0, first_generation, now);
        if let Some(spec) = plan {
            self.events
                .push(CoreEvent::WriteClaimGroup { version, spec });
        }
    }
}
