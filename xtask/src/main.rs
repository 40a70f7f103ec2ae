//! Regenerates the committed Rust code of the internal protocol from `proto/`.
//!
//! Run with `cargo run -p xtask` after editing a `.proto` file. The ordinary
//! build does not need this crate.

use std::path::Path;

const PROTO_DIRECTORY: &str = "proto";
const PROTO_FILES: [&str; 2] = ["proto/cluster.proto", "proto/peers.proto"];
const OUTPUT_DIRECTORY: &str = "crates/wire/src/generated";

fn main() {
    let descriptors = protox::compile(PROTO_FILES, [PROTO_DIRECTORY]).expect("proto files parse");
    std::fs::create_dir_all(OUTPUT_DIRECTORY).expect("output directory can be made");
    let mut config = prost_build::Config::new();
    config.out_dir(Path::new(OUTPUT_DIRECTORY));
    config.btree_map(["."]);
    config.compile_fds(descriptors).expect("code is generated");
}
