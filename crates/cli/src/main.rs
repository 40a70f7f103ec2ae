//! `ploverlift`: runs a node and sends commands to running nodes.

mod arguments;
mod dev;
mod exit;
mod gateway;
mod limits;
mod object_files;
mod operator_client;
mod operator_commands;
mod output;
mod quarantine;
mod serve;
mod trace;

use arguments::{Arguments, Command};
use exit::Failure;
use std::process::ExitCode;

fn main() -> ExitCode {
    ploverlift_node::executor::use_all_cores();
    let arguments = match Arguments::parse() {
        Ok(arguments) => arguments,
        Err(exit) => return exit,
    };
    exit::code_of(run(arguments.command))
}

fn run(command: Command) -> Result<(), Failure> {
    match command {
        Command::Serve(arguments) => serve::run(&arguments),
        Command::Gateway(arguments) => gateway::run(&arguments),
        Command::Quarantine(arguments) => quarantine::run(&arguments),
        Command::Limits(arguments) => limits::run(&arguments),
        Command::Dev(arguments) => dev::run(&arguments),
        Command::Check(arguments) => Ok(object_files::check(&arguments.files)?),
        Command::Apply(arguments) => operator_commands::apply(&arguments),
        Command::Delete(arguments) => operator_commands::delete(&arguments),
        Command::Get(arguments) => operator_commands::get(&arguments),
        Command::Diff(arguments) => operator_commands::diff(&arguments),
        Command::Status(arguments) => operator_commands::status(&arguments),
        Command::Drain(arguments) => operator_commands::drain(&arguments),
        Command::Explain(arguments) => operator_commands::explain(&arguments),
        Command::Trace(arguments) => Ok(trace::run(&arguments)?),
    }
}
