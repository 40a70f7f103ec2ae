//! The commands that talk to a running node.

use crate::arguments::{
    ApplyArguments, DeleteArguments, DiffArguments, DrainArguments, ExplainArguments, GetArguments,
    StatusArguments,
};
use crate::exit::Failure;
use crate::operator_client::{request, request_json, with_name, OperatorError};
use crate::{object_files, output};
use ploverlift_http1::Target;
use ploverlift_node::operators::handler::{Explanation, KnownObjects, StatusReport};
use ploverlift_policy::objects::Object;
use trillium::Method;

/// Path of the objects.
const OBJECTS: &str = "/objects";

fn object_target(kind: &str, name: &str) -> Result<Target, OperatorError> {
    with_name(with_name(Target::literal(OBJECTS), kind)?, name)
}

/// Stores objects. An object without a version gets the version that the node knows.
pub fn apply(arguments: &ApplyArguments) -> Result<(), Failure> {
    for mut object in object_files::read_all(&arguments.files)? {
        if object.metadata.resource_version.0 == 0 {
            let known = find(arguments.admin, &object)?;
            let version = known.map(|known| known.metadata.resource_version);
            object.metadata.resource_version = version.unwrap_or_default();
        }
        let body = serde_json::to_string(&object).unwrap_or_default();
        let answer = request(
            arguments.admin,
            Method::Put,
            &Target::literal(OBJECTS),
            Some(body),
        )?;
        if arguments.json {
            println!("{answer}");
            continue;
        }
        let stored: Object = serde_json::from_str(&answer).map_err(shape)?;
        println!(
            "{:?} '{}' is stored as version {}",
            stored.kind, stored.metadata.name, stored.metadata.resource_version
        );
    }
    Ok(())
}

/// Deletes an object.
pub fn delete(arguments: &DeleteArguments) -> Result<(), Failure> {
    let target = object_target(&arguments.kind, &arguments.name)?;
    request(arguments.admin, Method::Delete, &target, None)?;
    println!("{} '{}' is deleted", arguments.kind, arguments.name);
    Ok(())
}

fn shape(error: serde_json::Error) -> OperatorError {
    OperatorError::Shape {
        reason: error.to_string(),
    }
}

fn find(admin: std::net::SocketAddr, object: &Object) -> Result<Option<Object>, Failure> {
    let target = object_target(object.kind.plural(), &object.metadata.name)?;
    match request_json::<KnownObjects>(admin, &target) {
        Ok(known) => Ok(known.items.into_iter().next()),
        Err(OperatorError::Refused { status: 404, .. }) => Ok(None),
        Err(error) => Err(error.into()),
    }
}

/// Prints objects.
pub fn get(arguments: &GetArguments) -> Result<(), Failure> {
    let target = match &arguments.name {
        Some(name) => object_target(&arguments.kind, name)?,
        None => with_name(Target::literal(OBJECTS), &arguments.kind)?,
    };
    let known: KnownObjects = request_json(arguments.admin, &target)?;
    if arguments.json {
        println!(
            "{}",
            serde_json::to_string(&known.items).unwrap_or_default()
        );
        return Ok(());
    }
    for object in &known.items {
        println!(
            "{:?} {} version {} {}",
            object.kind, object.metadata.name, object.metadata.resource_version, object.spec
        );
    }
    Ok(())
}

/// Compares files with the objects in force.
pub fn diff(arguments: &DiffArguments) -> Result<(), Failure> {
    let mut differing = Vec::new();
    for object in object_files::read_all(&arguments.files)? {
        let known = find(arguments.admin, &object)?;
        let same = known.as_ref().is_some_and(|known| {
            known.spec == object.spec && known.metadata.labels == object.metadata.labels
        });
        if !same {
            let in_force = known.map(|known| known.spec);
            if !arguments.json {
                let before = in_force
                    .as_ref()
                    .map_or("nothing".to_owned(), |spec| spec.to_string());
                println!("{:?} '{}'", object.kind, object.metadata.name);
                println!("  in force: {before}\n  in file:  {}", object.spec);
            }
            differing.push(serde_json::json!({
                "kind": object.kind, "name": object.metadata.name,
                "inForce": in_force, "inFile": object.spec,
            }));
        }
    }
    if arguments.json {
        println!("{}", serde_json::to_string(&differing).unwrap_or_default());
    }
    if differing.is_empty() {
        Ok(())
    } else {
        Err(Failure::Differs)
    }
}

/// Prints a node's report on itself.
pub fn status(arguments: &StatusArguments) -> Result<(), Failure> {
    let report: StatusReport = request_json(arguments.admin, &Target::literal("/status"))?;
    if arguments.json {
        println!("{}", serde_json::to_string(&report).unwrap_or_default());
    } else {
        print!("{}", output::status_text(&report));
    }
    Ok(())
}

/// Starts a planned stop of a node.
pub fn drain(arguments: &DrainArguments) -> Result<(), Failure> {
    request(
        arguments.admin,
        Method::Post,
        &Target::literal("/drain"),
        None,
    )?;
    println!("the node finishes what it has and stops");
    Ok(())
}

/// Prints the routing decisions for a request.
pub fn explain(arguments: &ExplainArguments) -> Result<(), Failure> {
    let target = with_name(Target::literal("/explain"), &arguments.request)?;
    let explanation: Explanation = request_json(arguments.admin, &target)?;
    if arguments.json {
        println!(
            "{}",
            serde_json::to_string(&explanation).unwrap_or_default()
        );
    } else {
        print!("{}", output::explanation_text(&explanation));
    }
    Ok(())
}
