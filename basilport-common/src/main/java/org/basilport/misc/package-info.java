/** Small utilities that every module uses. */
package org.basilport.misc;
