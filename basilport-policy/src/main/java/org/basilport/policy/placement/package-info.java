/** Which models, adapters and versions should be loaded on which engine. */
package org.basilport.policy.placement;
