package org.bronzewheel.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import org.bronzewheel.inventory.Inventory;
import org.bronzewheel.inventory.Pool;
import org.bronzewheel.inventory.PoolKind;
import org.bronzewheel.rules.Pipeline;
import org.bronzewheel.rules.Stage;

/**
 * The functions that the stand-ins compute, so that whoever knows the input of a request can tell
 * its whole answer.
 *
 * <p>Each output carries the nonce of the caller's input through all stages.
 */
public final class ExpectedAnswers {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String NONCE_PREFIX = "nonce:";
    private static final int DIGEST_CHARS = 16;
    private static final int PASSAGE_WORDS = 48;
    private static final int WORD_RANGE = 1 << 16;
    private static final int CHARS_PER_TOKEN = 4;

    private ExpectedAnswers() {}

    /**
     * Computes the whole answer of a pipeline.
     *
     * @param inventory the pools of the stages
     * @param pipeline the pipeline
     * @param input the caller's input
     * @return the output of the last stage
     * @throws java.util.NoSuchElementException where a stage names an unknown pool
     */
    public static JsonNode answer(Inventory inventory, Pipeline pipeline, JsonNode input) {
        JsonNode value = input;
        for (Stage stage : pipeline.stages()) {
            value = output(inventory.pool(stage.pool()).orElseThrow(), stage, value);
        }
        return value;
    }

    /**
     * Computes the output of one stage.
     *
     * @param pool the pool that serves it
     * @param stage the stage
     * @param input its input
     * @return its output
     */
    public static JsonNode output(Pool pool, Stage stage, JsonNode input) {
        return switch (pool.kind()) {
            case MODEL_ENGINE ->
                    generated(
                            String.join(
                                    "", tokens(stage.model(), prompt(input), stage.maxTokens())));
            case PLAIN_SERVICE -> serviceOutput(stage.path(), input);
            case ENCODER, RETRIEVER, RERANKER -> stageOutput(pool.kind(), input);
        };
    }

    /**
     * Computes the output of an encoder, retriever or reranker.
     *
     * @param kind the kind of the pool
     * @param input its input
     * @return its output
     */
    public static JsonNode stageOutput(PoolKind kind, JsonNode input) {
        ObjectNode output = JsonNodeFactory.instance.objectNode();
        String topic = input.path("topic").asText("");
        output.put("topic", topic);
        if (kind != PoolKind.ENCODER) {
            output.put("passages", passages(topic));
        }
        output.put("stage", kind.name());
        output.put("nonce", nonce(input));
        output.put("digest", digest(input));
        return output;
    }

    /**
     * Computes the answer of a plain service.
     *
     * @param path the path of the call
     * @param input its input
     * @return its output
     */
    public static JsonNode serviceOutput(String path, JsonNode input) {
        ObjectNode output = JsonNodeFactory.instance.objectNode();
        output.put("service", path);
        output.put("nonce", nonce(input));
        output.put("confirmation", digest(input));
        return output;
    }

    /**
     * Computes the tokens that a model engine generates.
     *
     * @param model the model
     * @param prompt the prompt
     * @param maxTokens the longest answer in tokens
     * @return one to maxTokens tokens; their texts joined are the text
     */
    public static List<String> tokens(String model, String prompt, int maxTokens) {
        SplittableRandom random = random(model + '\n' + prompt);
        int shortest = Math.max(1, maxTokens / 2);
        int count = shortest + random.nextInt(maxTokens - shortest + 1);
        List<String> tokens = new ArrayList<>(count);
        tokens.add(NONCE_PREFIX + nonce(parse(prompt)));
        while (tokens.size() < count) {
            tokens.add(" w" + Integer.toHexString(random.nextInt(WORD_RANGE)));
        }
        return tokens;
    }

    /**
     * Returns the prompt of a model stage.
     *
     * @param input the input of the stage
     * @return the text of a string, else the JSON text
     */
    public static String prompt(JsonNode input) {
        return input.isTextual() ? input.textValue() : input.toString();
    }

    /**
     * Counts the tokens of a prompt.
     *
     * @param prompt the prompt
     * @return at least 1
     */
    public static int promptTokens(String prompt) {
        return Math.max(1, prompt.length() / CHARS_PER_TOKEN);
    }

    /**
     * Finds the nonce of a caller in the input or output of any stage.
     *
     * @param value the input or output
     * @return the nonce, empty where there is none
     */
    public static String nonce(JsonNode value) {
        JsonNode nonce = value.path("nonce");
        if (nonce.isTextual()) {
            return nonce.textValue();
        }
        String text = value.isTextual() ? value.textValue() : value.path("text").asText("");
        if (!text.startsWith(NONCE_PREFIX)) {
            return "";
        }
        int end = text.indexOf(' ');
        return text.substring(NONCE_PREFIX.length(), end < 0 ? text.length() : end);
    }

    /**
     * Computes a digest of a JSON value.
     *
     * @param value the value
     * @return 16 hexadecimal digits
     */
    public static String digest(JsonNode value) {
        return HexFormat.of().formatHex(sha256(value.toString())).substring(0, DIGEST_CHARS);
    }

    static JsonNode generated(String text) {
        return JsonNodeFactory.instance.objectNode().put("text", text);
    }

    /** Parses a prompt that is JSON text; any other prompt is a JSON string. */
    static JsonNode parse(String prompt) {
        try {
            JsonNode parsed = MAPPER.readTree(prompt);
            return parsed.isObject() ? parsed : JsonNodeFactory.instance.textNode(prompt);
        } catch (JsonProcessingException e) {
            return JsonNodeFactory.instance.textNode(prompt);
        }
    }

    static String prefixHash(String prefix) {
        return HexFormat.of().formatHex(sha256(prefix)).substring(0, DIGEST_CHARS);
    }

    /** Computes long text that inputs of the same topic share, so that prompts share a prefix. */
    private static String passages(String topic) {
        SplittableRandom random = random(topic);
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < PASSAGE_WORDS; i++) {
            text.append('p').append(random.nextInt(WORD_RANGE)).append(' ');
        }
        return text.toString().strip();
    }

    private static SplittableRandom random(String text) {
        return new SplittableRandom(ByteBuffer.wrap(sha256(text)).getLong());
    }

    private static byte[] sha256(String text) {
        try {
            return MessageDigest.getInstance("SHA-256")
                    .digest(text.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            // Each Java platform provides SHA-256.
            throw new IllegalStateException(e);
        }
    }
}
