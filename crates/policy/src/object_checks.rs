//! Validation of objects: each error names the field, its value and the fix.

use crate::labels::Selector;
use crate::objects::{
    ClaimGroupSpec, Kind, LeaseSpec, MachineSpec, Object, ObjectError, PoolSpec, RouteSpec,
    TenantSpec,
};

const MAX_NAME_BYTES: usize = 128;
const SHA256_HEX_CHARACTERS: usize = 64;
const MAX_DEADLINE_MS: u64 = 3_600_000;

impl Object {
    /// Checks the object's name, the shape of its specification and the bounds of its fields.
    ///
    /// # Errors
    /// The first invalid field, with the fix.
    pub fn validate(&self) -> Result<(), ObjectError> {
        self.check_name()?;
        match self.kind {
            Kind::Pool => self.check_pool(&self.typed()?),
            Kind::Tenant => self.check_tenant(&self.typed()?),
            Kind::Route => self.check_route(&self.typed()?),
            Kind::Machine => self.check_machine(&self.typed()?),
            Kind::ClaimGroup => self.check_claim_group(&self.typed()?),
            Kind::Lease => self.typed::<LeaseSpec>().map(|_| ()),
        }
    }

    fn fault(&self, field: &'static str, value: impl ToString, fix: &'static str) -> ObjectError {
        ObjectError::Field {
            kind: self.kind,
            name: self.metadata.name.clone(),
            field,
            value: value.to_string(),
            fix,
        }
    }

    fn check_name(&self) -> Result<(), ObjectError> {
        let name = &self.metadata.name;
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | '_');
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(allowed) {
            let fix = "use 1 to 128 letters, digits, '-', '.' or '_'";
            return Err(self.fault("metadata.name", name, fix));
        }
        Ok(())
    }

    fn check_selector(&self, field: &'static str, selector: &Selector) -> Result<(), ObjectError> {
        for expression in &selector.match_expressions {
            if let Some(fix) = expression.fault() {
                return Err(self.fault(field, &expression.key, fix));
            }
        }
        Ok(())
    }

    fn check_pool(&self, spec: &PoolSpec) -> Result<(), ObjectError> {
        if spec.model.is_empty() {
            return Err(self.fault("spec.model", "''", "name the model that callers ask for"));
        }
        if !(1..=1_000_000).contains(&spec.block_tokens) {
            let fix = "use 1 to 1000000 tokens";
            return Err(self.fault("spec.blockTokens", spec.block_tokens, fix));
        }
        if !(1..=64).contains(&spec.bytes_per_token) {
            let fix = "use 1 to 64 bytes";
            return Err(self.fault("spec.bytesPerToken", spec.bytes_per_token, fix));
        }
        if !(spec.recompute_weight.is_finite() && (0.0..=100.0).contains(&spec.recompute_weight)) {
            let fix = "use 0.0 to 100.0; the default is 3.0";
            return Err(self.fault("spec.recomputeWeight", spec.recompute_weight, fix));
        }
        if spec.max_concurrent_loads == 0 {
            return Err(self.fault("spec.maxConcurrentLoads", 0, "use 1 or more"));
        }
        self.check_selector("spec.selector", &spec.selector)
    }

    fn check_tenant(&self, spec: &TenantSpec) -> Result<(), ObjectError> {
        for hash in &spec.key_hashes {
            let hexadecimal = hash
                .bytes()
                .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
            if hash.len() != SHA256_HEX_CHARACTERS || !hexadecimal {
                let fix = "give the SHA-256 of the key as 64 lower-case hexadecimal digits";
                return Err(self.fault("spec.keyHashes", "(not shown)", fix));
            }
        }
        if spec.weight == 0 {
            return Err(self.fault("spec.weight", 0, "use 1 or more"));
        }
        Ok(())
    }

    fn check_route(&self, spec: &RouteSpec) -> Result<(), ObjectError> {
        if spec.pool.is_empty() {
            return Err(self.fault("spec.pool", "''", "name the pool that serves the traffic"));
        }
        if !(1..=MAX_DEADLINE_MS).contains(&spec.deadline_ms) {
            let fix = "use 1 to 3600000 milliseconds";
            return Err(self.fault("spec.deadlineMs", spec.deadline_ms, fix));
        }
        self.check_selector("spec.match.tenantSelector", &spec.r#match.tenant_selector)?;
        self.check_selector("spec.engineSelector", &spec.engine_selector)
    }

    fn check_machine(&self, spec: &MachineSpec) -> Result<(), ObjectError> {
        if spec.address.parse::<std::net::SocketAddr>().is_err() {
            let fix = "give an IP address and a port, as in 10.0.0.7:8000";
            return Err(self.fault("spec.address", &spec.address, fix));
        }
        Ok(())
    }

    fn check_claim_group(&self, spec: &ClaimGroupSpec) -> Result<(), ObjectError> {
        if spec.replicas.is_empty() {
            return Err(self.fault("spec.replicas", "[]", "name at least one node"));
        }
        Ok(())
    }
}
