//! The executor's threads. `smol` starts one thread unless its environment
//! variable says otherwise; a node uses every core it may.

/// Variable by which `smol` learns its number of threads.
const THREADS_VARIABLE: &str = "SMOL_THREADS";

/// Lets the executor use all cores, unless the environment says otherwise. To
/// be called before anything is spawned.
pub fn use_all_cores() {
    if std::env::var_os(THREADS_VARIABLE).is_some() {
        return;
    }
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    std::env::set_var(THREADS_VARIABLE, cores.to_string());
}
