package org.bronzewheel.upstreams;

import java.util.List;
import java.util.Map;

/**
 * What the choice of an engine knows of a request.
 *
 * @param tokens the length of the prompt in tokens
 * @param parts its parts in order
 * @param inputBytes the bytes of stage results that the engine fetches, by failure domain
 */
public record Prompt(int tokens, List<PromptPart> parts, Map<String, Long> inputBytes) {}
