//! Prints the fault matrix, the content of `docs/FAULTS.md`.

fn main() {
    print!("{}", waxwing_proof::report::render());
}
