package org.bronzewheel.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.bronzewheel.configuration.ConfigurationDocument;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.request.Outcome;

/** Reads inventories and rules from files or from the embedded default. */
public final class Documents {
    private static final YAMLMapper YAML = new YAMLMapper();
    private static final long FIRST_REVISION = 1;

    private Documents() {}

    /**
     * Reads the embedded default.
     *
     * @return the inventory and rules of the demo, under revision 1
     */
    public static ConfigurationDocument embedded() {
        return new ConfigurationDocument(
                FIRST_REVISION, resource("inventory.yaml"), resource("rules.yaml"));
    }

    /**
     * Changes the addresses of upstreams.
     *
     * @param document the document
     * @param addresses {@code host:port} by name of the upstream; others stay
     * @return a copy; its inventory is written anew, without comments
     */
    public static ConfigurationDocument withAddresses(
            ConfigurationDocument document, Map<String, String> addresses) {
        try {
            JsonNode inventory = YAML.readTree(document.inventoryText());
            for (JsonNode pool : inventory.path("pools")) {
                for (JsonNode upstream : pool.path("upstreams")) {
                    String address = addresses.get(upstream.path("name").asText());
                    if (address != null) {
                        ((ObjectNode) upstream).put("address", address);
                    }
                }
            }
            return new ConfigurationDocument(
                    document.revision(), YAML.writeValueAsString(inventory), document.rulesText());
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads both files, or the embedded default where neither is given. */
    static ConfigurationDocument read(Path inventory, Path rules) {
        if (inventory == null && rules == null) {
            return embedded();
        }
        if (inventory == null || rules == null) {
            throw new BronzewheelException(
                    ErrorCode.INVALID_SETTING, "--inventory and --rules go together");
        }
        return new ConfigurationDocument(FIRST_REVISION, text(inventory), text(rules));
    }

    static String text(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new BronzewheelException(
                    ErrorCode.INVALID_SETTING, Outcome.NOT_RUN, "can't read the file " + file, e);
        }
    }

    /** Tells rules from an inventory by the fields that only rules have. */
    static boolean looksLikeRules(String text) {
        return text.lines()
                .anyMatch(
                        line ->
                                line.startsWith("pipelines:")
                                        || line.startsWith("requestClasses:"));
    }

    private static String resource(String name) {
        try (InputStream in = Documents.class.getResourceAsStream(name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
