//! Prints the operators' page of all settings, `docs/operations/settings.md`.

fn main() {
    print!("{}", waxwing_settings::pages::settings_page());
}
