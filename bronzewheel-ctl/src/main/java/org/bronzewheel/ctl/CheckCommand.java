package org.bronzewheel.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.bronzewheel.configuration.ConfigurationDocument;
import org.bronzewheel.configuration.ConfigurationParser;
import org.bronzewheel.configuration.InvalidConfigurationException;
import org.bronzewheel.configuration.Violation;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;

/** The subcommand that validates configuration files. */
@Parameters(
        commandDescription =
                "Validates an inventory, or an inventory with its rules. Exit status 0 where they"
                        + " are accepted, 1 where they are refused.")
final class CheckCommand extends HelpFlag {
    private static final String ANY_RULES =
            "requestClasses: [{name: any, deadlineMillis: 1}]\npipelines: []\n";

    @Parameter(description = "FILE...", required = true)
    private List<Path> files = new ArrayList<>();

    private Path inventory;
    private Path rules;

    @Override
    public int run(PrintStream out, PrintStream err) {
        files.forEach(this::sort);
        if (inventory == null) {
            throw wrong("rules refer to pools: give the inventory file as well");
        }
        List<Violation> violations = violations();
        for (Violation violation : violations) {
            out.println(withPath(violation));
        }
        if (violations.isEmpty()) {
            files.forEach(file -> out.println(file + ": accepted"));
        }
        return violations.isEmpty() ? OK : FOUND_WRONG;
    }

    private void sort(Path file) {
        boolean isRules = Documents.looksLikeRules(Documents.text(file));
        if (isRules ? rules != null : inventory != null) {
            throw wrong(file + " is a second " + (isRules ? "rules" : "inventory") + " file");
        }
        if (isRules) {
            rules = file;
        } else {
            inventory = file;
        }
    }

    private List<Violation> violations() {
        String rulesText = rules == null ? ANY_RULES : Documents.text(rules);
        try {
            new ConfigurationParser()
                    .parse(new ConfigurationDocument(1, Documents.text(inventory), rulesText));
            return List.of();
        } catch (InvalidConfigurationException e) {
            return e.violations();
        }
    }

    private Violation withPath(Violation violation) {
        boolean ofRules = violation.file().equals(ConfigurationParser.RULES);
        return new Violation(
                (ofRules ? rules : inventory).toString(),
                violation.line(),
                violation.column(),
                violation.field(),
                violation.value(),
                violation.expected());
    }

    private static BronzewheelException wrong(String message) {
        return new BronzewheelException(ErrorCode.INVALID_SETTING, message);
    }
}
