//! `ploverlift quarantine`: the requests and parts of prompts that all gateways refuse because
//! engines ended while running them.

use crate::arguments::QuarantineArguments;
use crate::exit::Failure;
use ploverlift_gateway::logging::silent_logger;
use ploverlift_gateway::quarantine::{list_refused, release_refused};
use ploverlift_gateway::settings::GatewaySettings;
use ploverlift_gateway::state::Gateway;
use ploverlift_platform::Platform;
use std::sync::Arc;

/// Lists the refused requests and parts, or releases one.
pub fn run(arguments: &QuarantineArguments) -> Result<(), Failure> {
    let settings = GatewaySettings::read(&arguments.settings)?;
    let gateway = Gateway::new(settings, Arc::new(Platform), silent_logger());
    let gateway = Arc::new(gateway);
    smol::block_on(async {
        if let Some(subject) = arguments.release {
            release_refused(&gateway, subject).await?;
            println!("{subject} is released");
            return Ok(());
        }
        for (subject, refusal) in list_refused(&gateway).await? {
            let software: Vec<&str> = refusal
                .software
                .iter()
                .map(|known| known.0.as_str())
                .collect();
            println!(
                "{subject} tenant {:016x} software {} trials {}",
                refusal.tenant.0,
                software.join(","),
                refusal.trials
            );
        }
        Ok(())
    })
}
