package org.bronzewheel.execution;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * The whole answer of a pipeline.
 *
 * @param output the output of the last stage
 * @param stages what each stage took
 */
record PipelineAnswer(JsonNode output, List<StageReport> stages) {}
