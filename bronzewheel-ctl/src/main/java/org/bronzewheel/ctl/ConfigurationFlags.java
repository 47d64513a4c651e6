package org.bronzewheel.ctl;

import com.beust.jcommander.Parameter;
import java.nio.file.Path;
import org.bronzewheel.configuration.ConfigurationDocument;

/** The flags that name a configuration. */
final class ConfigurationFlags {
    @Parameter(
            names = "--inventory",
            description = "The inventory file; the embedded default without.")
    private Path inventory;

    @Parameter(names = "--rules", description = "The rules file; the embedded default without.")
    private Path rules;

    ConfigurationDocument read() {
        return Documents.read(inventory, rules);
    }

    boolean isEmbedded() {
        return inventory == null;
    }
}
